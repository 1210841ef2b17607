"""
Process.

One child process with its log.
"""

import os
import signal
import subprocess
import sys
from pathlib import Path

import psutil

STOP_TIMEOUT = 20.0  # seconds


class Process:
    """
    A child process.

    :param name: of the child.
    :param arguments: of the Python interpreter.
    :param log: file for its output.
    """

    def __init__(self, *, name: str, arguments: list[str], log: Path):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the child."""
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def send(self, number: signal.Signals) -> None:
        """
        Send a signal.

        :param number: such as `SIGKILL`.
        """
        self.child.send_signal(number)

    def running(self) -> bool:
        """
        Tell whether the child runs.

        :return: False before its start and after its end.
        """
        return self.child is not None and self.child.poll() is None

    def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """
        Wait for the child's end.

        :param timeout: seconds.
        :return: its exit code.
        """
        return self.child.wait(timeout)

    def stop(self) -> None:
        """End the child, whatever its state."""
        if not self.running():
            return
        self.child.send_signal(signal.SIGCONT)
        self.child.kill()
        self.child.wait(STOP_TIMEOUT)

    def cpu_seconds(self) -> float:
        """
        Read the processor time.

        :return: seconds of user and system time.
        """
        times = psutil.Process(self.child.pid).cpu_times()
        return times.user + times.system

    def memory_bytes(self) -> int:
        """
        Read the resident memory.

        :return: bytes.
        """
        return psutil.Process(self.child.pid).memory_info().rss
