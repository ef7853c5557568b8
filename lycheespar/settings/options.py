"""Typed options that declare the keys of a settings schema."""

from __future__ import annotations

import ipaddress
from typing import Any, Final, Generic, TypeVar

import msgspec

Value = TypeVar('Value')

REQUIRED: Final = object()


class Address(msgspec.Struct, frozen=True, order=True):
    """IP address and port.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        Port number; 0 lets the system choose a free port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class InvalidOptionError(ValueError):
    """The value of a setting is not valid for its option."""


class Option(Generic[Value]):
    """Declaration of one setting.

    Parameters
    ----------
    doc : str
        Description of the setting, with its unit.
    default
        Value if the key is not set; `REQUIRED` if it must be set.
    """

    kind = 'value'

    def __init__(self, doc: str, default: Any = REQUIRED) -> None:
        """Declare the option with its description and default."""
        self.doc = doc
        self.default = default

    @property
    def required(self) -> bool:
        """Whether the key must be set."""
        return self.default is REQUIRED

    def validate(self, value: Any) -> Value:
        """Validate a value and return it in the type of the option.

        Raises
        ------
        InvalidOptionError
            The value is not valid.
        """
        raise NotImplementedError

    def __set_name__(self, owner: type, name: str) -> None:
        """Store the key of the option: its attribute name in the schema."""
        self.name = name

    def __get__(self, instance: Any, owner: type) -> Any:
        """Return the value on an instance and the option on the class."""
        if instance is None:
            return self
        return instance.values[self.name]


class Text(Option[str]):
    """A non-empty string."""

    kind = 'string'

    def validate(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str) or not value:
            raise InvalidOptionError('must be a non-empty string')
        return value


class Choice(Option[str]):
    """One of several strings.

    Parameters
    ----------
    choices : tuple[str, ...]
        Allowed strings.
    """

    kind = 'choice'

    def __init__(
        self,
        doc: str,
        choices: tuple[str, ...],
        default: Any = REQUIRED,
    ) -> None:
        """Declare the option with its description and default."""
        super().__init__(doc, default)
        self.choices = choices

    def validate(self, value: Any) -> str:
        """Return the string."""
        if value not in self.choices:
            listed = ', '.join(self.choices)
            raise InvalidOptionError(f'must be one of {listed}')
        return str(value)


class Number(Option[float]):
    """A number within limits.

    Parameters
    ----------
    low, high : float
        Lowest and highest allowed value, in the unit of the setting.
    """

    kind = 'number'

    def __init__(
        self,
        doc: str,
        default: Any = REQUIRED,
        *,
        low: float = 0,
        high: float = float('inf'),
    ) -> None:
        """Declare the option with its description and default."""
        super().__init__(doc, default)
        self.low = low
        self.high = high

    def validate(self, value: Any) -> float:
        """Return the number."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidOptionError('must be a number')
        if not self.low <= value <= self.high:
            raise InvalidOptionError(f'must be from {self.low} to {self.high}')
        return value


class Integer(Number):
    """A whole number within limits."""

    kind = 'whole number'

    def validate(self, value: Any) -> int:
        """Return the number."""
        checked = super().validate(value)
        if not isinstance(checked, int):
            raise InvalidOptionError('must be a whole number')
        return checked


class Flag(Option[bool]):
    """True or false."""

    kind = 'true or false'

    def validate(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise InvalidOptionError('must be true or false')
        return value


class IpAddress(Option[Address]):
    """IP address and port, such as ``127.0.0.1:8080``."""

    kind = 'address'

    def validate(self, value: Any) -> Address:
        """Return the address."""
        return parse_address(value)


class AddressTable(Option[dict[str, Address]]):
    """An object that maps names to addresses."""

    kind = 'addresses by name'

    def validate(self, value: Any) -> dict[str, Address]:
        """Return the addresses by name."""
        if not isinstance(value, dict):
            raise InvalidOptionError(
                'must be an object that maps names to addresses'
            )
        return {name: parse_address(text) for name, text in value.items()}


class AddressList(Option[tuple[Address, ...]]):
    """A list of addresses."""

    kind = 'addresses'

    def validate(self, value: Any) -> tuple[Address, ...]:
        """Return the addresses."""
        if not isinstance(value, list):
            raise InvalidOptionError('must be a list of addresses')
        return tuple(map(parse_address, value))


_MAX_PORT_DIGITS: Final = 5


def parse_address(value: Any) -> Address:
    """Parse an address of the form ``host:port``.

    Raises
    ------
    InvalidOptionError
        The host is not an IP address, or the port is not a valid port number.
    """
    host, _, port = str(value).rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise InvalidOptionError(
            f"'{value}' is not an IP address with a port, such as 127.0.0.1:80",
        ) from error
    is_number = port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    if not (is_number and int(port) < 2**16):
        raise InvalidOptionError(f"'{value}' has no valid port")
    return Address(host, int(port))
