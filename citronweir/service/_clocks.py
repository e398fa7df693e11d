"""Reads the clock that also advances while the VM is suspended."""

import time


def read_boot_clock() -> float:
    """Returns the seconds since the boot of the machine.

    Unlike the monotonic clock it counts suspensions, and unlike the time of
    day it never steps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
