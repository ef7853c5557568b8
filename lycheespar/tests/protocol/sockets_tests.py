"""Options of connections that the system refuses, and counters."""

from __future__ import annotations

import socket

from lycheespar.protocol.sockets import (
    create_tuned_socket,
    unread_bytes,
    unsent_bytes,
)


def test_a_connection_without_its_options_is_used(monkeypatch):
    """The error left a callback, and the connection was never read."""

    def refuse(*_: object) -> None:
        raise PermissionError(1, 'Operation not permitted')

    monkeypatch.setattr(socket.socket, 'setsockopt', refuse, raising=False)
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ('127.0.0.1', 9))
    create_tuned_socket(address).close()


def test_bytes_that_neither_end_has_taken_are_counted():
    """The event of a connection that is cut off would not tell why."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    with sender, receiver:
        sender.setblocking(False)
        while True:
            try:
                sender.send(bytes(65_536))
            except BlockingIOError:
                break
        assert unread_bytes(receiver)
        assert unsent_bytes(sender)
        assert not unread_bytes(sender)
        assert not unsent_bytes(receiver)
    assert not unread_bytes(receiver)
