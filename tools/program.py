"""Entry point of the program that PyInstaller freezes."""

from __future__ import annotations

from lycheespar.__main__ import cli

if __name__ == '__main__':
    cli(prog_name='lycheespar')
