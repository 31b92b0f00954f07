"""Limits of what a run may take of the machine. A run that would exceed them is refused before it starts."""

import os
from pathlib import Path

MAX_PROCESSES, MAX_MEMORY_SHARE = 300, 0.5
MB = 2**20
# Bytes; all are upper bounds. An instance or configuration counts at each gateway that has it in a scope. A
# control process keeps all entries and their predecessors.
HOLLOW_PROCESS_BYTES, HOLLOW_GATEWAY_BYTES = 40 * MB, 0.5 * MB
INSTANCE_BYTES, CONFIGURATION_BYTES = 2600, 1400
CONTROL_PROCESS_BYTES, CONTROL_ENTRY_BYTES = 120 * MB, 3000
OTHER_DESCRIPTORS = 200  # of a process, in addition to those of its gateways


class TooLarge(Exception):
    """The run would exceed a limit; the text says which one, and which option to lower."""


def machine_memory():
    """Returns the memory of the machine in bytes."""
    line = next(
        line for line in Path("/proc/meminfo").read_text().splitlines() if line.startswith("MemTotal")
    )
    return int(line.split()[1]) * 1024


def estimate_memory(plan, control, hollow):
    """Returns the bytes that a run may take at its peak with this many control and hollow processes."""
    scope_bytes = sum(
        plan.instances_of(gateway) * INSTANCE_BYTES + plan.configurations_of(gateway) * CONFIGURATION_BYTES
        for gateway in plan.gateways
    )
    gateway_bytes = hollow * HOLLOW_PROCESS_BYTES + len(plan.gateways) * HOLLOW_GATEWAY_BYTES + scope_bytes
    return gateway_bytes + control * (CONTROL_PROCESS_BYTES + plan.entries * CONTROL_ENTRY_BYTES)


def check(memory, processes, descriptors, machine=None, max_descriptors=None):
    """Raises TooLarge if a limit is exceeded.

    The limits are half of the machine's memory (bytes), the processes of a run, and the descriptors that one
    process may open.
    """
    machine = machine or machine_memory()
    if memory > MAX_MEMORY_SHARE * machine:
        raise TooLarge(
            f"the run may take {memory / MB:.0f} MB; at most half of the machine's memory, "
            f"{MAX_MEMORY_SHARE * machine / MB:.0f} MB, is allowed: lower --gateways, --services-each or "
            "--instances"
        )
    if processes > MAX_PROCESSES:
        raise TooLarge(
            f"the run wants {processes} processes; at most {MAX_PROCESSES}: lower --cores or --relays"
        )
    allowed = max_descriptors or os.sysconf("SC_OPEN_MAX")
    if descriptors + OTHER_DESCRIPTORS > allowed:
        raise TooLarge(
            f"one process wants {descriptors + OTHER_DESCRIPTORS} open files and may have {allowed}: "
            "lower --gateways or raise ulimit -n"
        )
