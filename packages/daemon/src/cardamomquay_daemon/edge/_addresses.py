"""Checks addresses and names that other programs write."""

from __future__ import annotations

from ipaddress import AddressValueError
from ipaddress import IPv4Address

PORT_MAX = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``ip:port``.

    A host name is rejected: resolving it would block the event loop.

    Parameters
    ----------
    text : str

    Returns
    -------
    tuple of str and int

    Raises
    ------
    ValueError
        If the IP address is not an IPv4 address, or the port is not between 1 and
        65535.
    """
    ip, _, port = text.rpartition(":")
    if not (
        ip and port.isascii() and port.isdigit() and len(port) <= len(str(PORT_MAX))
    ):
        raise ValueError(f"address found {text!r}, expected 'ip:port'")
    check_address(ip, int(port))
    return ip, int(port)


def check_address(ip: str, port: int) -> None:
    """Check an address to which connections or datagrams are sent.

    Raises
    ------
    ValueError
        As for `parse_address`.
    """
    try:
        IPv4Address(ip)
    except AddressValueError as exc:
        raise ValueError(f"address found {ip!r}, expected an IPv4 address") from exc
    if not 0 < port <= PORT_MAX:
        raise ValueError(f"port found {port}, expected 1 to {PORT_MAX}")


def check_header_value(text: str) -> None:
    """Check a name that is sent as the value of a header.

    Raises
    ------
    ValueError
        If it contains control characters, or begins or ends with a space.
    """
    if not text.isprintable() or text != text.strip():
        raise ValueError(f"name found {text!r}, expected printable characters")
