"""Runs the command line when the package is executed."""

import sys

from toucanhall import cmdline


def main() -> int:
    """Run the command line and return its exit code."""
    return cmdline.run(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
