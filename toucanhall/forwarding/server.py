"""The HTTP server of an entry VM."""

from typing import Any, Final

from waitress.server import create_server

from toucanhall.forwarding.edge import Channel
from toucanhall.forwarding.web import Application
from toucanhall.settings import Settings

__all__ = ('make_server',)

# waitress writes larger buffers to disk.
_MAX_MEMORY_BUFFER_BYTES: Final = 67108864
_HIGH_WATERMARK_BYTES: Final = 1048576
_MAX_CONNECTIONS: Final = 1000


def make_server(settings: Settings, application: Application) -> Any:
    """Return a server on the callers' port of this VM."""
    bounds = settings.bounds
    server: Any = create_server(
        application,
        listen=f'{settings.address}:{settings.caller_port}',
        threads=bounds.threads,
        ident='toucanhall',
        max_request_header_size=bounds.header_bytes,
        max_request_body_size=bounds.body_bytes + 1,
        channel_timeout=bounds.idle_seconds,
        inbuf_overflow=max(_MAX_MEMORY_BUFFER_BYTES, bounds.body_bytes + 1),
        outbuf_overflow=_MAX_MEMORY_BUFFER_BYTES,
        outbuf_high_watermark=_HIGH_WATERMARK_BYTES,
        connection_limit=_MAX_CONNECTIONS,
        clear_untrusted_proxy_headers=False,
        asyncore_use_poll=True,
        log_socket_errors=False,
    )
    server.channel_class = Channel
    return server
