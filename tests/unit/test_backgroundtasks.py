"""Background tasks of a daemon that end by themselves."""

import asyncio

import structlog

from bilberryspoke._internal.network.backgroundtasks import (
    EXIT_TASK_ENDED,
    BackgroundTasks,
)


async def fail():
    raise LookupError('unexpected')


async def wait():
    await asyncio.sleep(3600)


def test_end_of_task_is_told_by_log_and_exit_code():
    # A process that ended by an error of its own exited with 0.
    async def run():
        stop = asyncio.Event()
        tasks = BackgroundTasks(stop)
        tasks.start([fail(), wait()])
        await stop.wait()
        await tasks.cancel()
        return tasks.choose_exit_code(aborted=0)

    with structlog.testing.capture_logs() as lines:
        assert asyncio.run(run()) == EXIT_TASK_ENDED
    [line] = lines
    assert line['event'] == 'task_ended_unexpectedly'
    assert line['task'] == 'fail'
    assert line['exc_info'].__traceback__ is not None


def test_exit_code_of_stop_tells_whether_requests_were_cut_off():
    tasks = BackgroundTasks(asyncio.Event())
    assert tasks.choose_exit_code(aborted=0) == 0
    assert tasks.choose_exit_code(aborted=2) == 1
