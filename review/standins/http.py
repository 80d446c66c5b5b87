"""Reads and writes HTTP/1.1 messages that have a length."""

from typing import NamedTuple


class Message(NamedTuple):
    """A first line, headers by lower-case name, and a body."""

    first_line: str
    headers: dict
    body: bytes


async def read_head(reader):
    """Return the first line and the headers, None at the end."""
    first_line = await reader.readline()
    if not first_line.strip():
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            return None
        if not line.strip():
            return first_line.decode('latin-1').strip(), headers
        name, _, content = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = content.strip()


async def read_message(reader):
    """Return a whole message, None if the connection ends before one."""
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return Message(first_line, headers, body)


async def write_message(writer, first_line, headers, body=b''):
    """Write a message with the length of its body."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join((*lines, '', '')).encode('latin-1') + body)
    await writer.drain()
