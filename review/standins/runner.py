"""Runs a case and ends its processes, also when it is told to stop."""

import asyncio
import signal

COULD_NOT_RUN = 2


def run_case(main):
    """Run the coroutine function of a case; return its exit code."""
    try:
        return asyncio.run(run_until_stopped(main))
    except asyncio.CancelledError:
        print('stopped')
    except Exception as error:  # a case that fails to run proves nothing
        print(f'could not run: {error!r}')
    return COULD_NOT_RUN


async def run_until_stopped(main):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await main()
