"""A plain HTTP proxy to one target: the baseline for request path costs."""

import argparse
from collections.abc import Callable, Iterable
from typing import Any, Final

import urllib3
import waitress

_THREAD_COUNT: Final = 48
_MAX_TARGET_CONNECTIONS: Final = 64


def make_application(target: str) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application that forwards every request to a target."""
    pool = urllib3.HTTPConnectionPool(
        *_split_address(target), maxsize=_MAX_TARGET_CONNECTIONS
    )

    def application(
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        headers = {
            name[5:].replace('_', '-').title(): content
            for name, content in environ.items()
            if name.startswith('HTTP_')
        }
        response = pool.urlopen(
            environ['REQUEST_METHOD'],
            environ['REQUEST_URI'],
            body=environ['wsgi.input'].read() or None,
            headers=headers,
            retries=False,
            decode_content=False,
        )
        start_response(
            f'{response.status} {response.reason}',
            list(response.headers.items()),
        )
        return (response.data,)

    return application


def _split_address(address: str) -> tuple[str, int]:
    host, port = address.split(':')
    return host, int(port)


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', required=True)
    options = parser.parse_args()
    waitress.serve(
        make_application(options.target),
        listen=options.listen,
        threads=_THREAD_COUNT,
        connection_limit=1000,
        asyncore_use_poll=True,
    )


if __name__ == '__main__':
    main()
