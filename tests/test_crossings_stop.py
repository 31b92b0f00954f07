"""What can cross SIGTERM, the closing of the listener and the end of the process: each bad order is forced.

Where the order is one of threads inside the gateway, the process runs a few lines of Python of the test's
before it becomes the gateway (`program`): they hold a thread at a named point until another has passed its
own.
"""

import signal

from lemonlead.standins.fleet import counted, gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins.server import Server, until

GATEWAY = 'import runpy\nrunpy.run_module("lemonlead.gateway", run_name="__main__", alter_sys=True)\n'

# The thread of a client that has gone begins to log that once "stopped" has been written, and is still at it
# when the process ends.
LOGS_TO_THE_END = """
import io, os, sys, threading, time
from lemonlead.gateway.clients import Gate

stopped, writing = threading.Event(), threading.Event()
gone = Gate.gone

class Out(io.RawIOBase):
    def writable(self):
        return True

    def write(self, data):
        if stopped.is_set():
            writing.set()
            time.sleep(1000)
        os.write(1, data)
        if b"event=stopped" in bytes(data):
            stopped.set()
        return len(data)

def log_late(gate, client):
    with gate.room:
        gate.clients.discard(client)
    stopped.wait()
    gone(gate, client)

def after(leave):
    return lambda code: writing.wait() and leave(code)

Gate.gone, sys.exit, os._exit = log_late, after(sys.exit), after(os._exit)
sys.stdout = io.TextIOWrapper(io.BufferedWriter(Out()))
"""


def test_the_process_ends_well_though_a_thread_writes_a_log_line_at_that_moment(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=LOGS_TO_THE_END + GATEWAY) as ran:
        assert ran.client().ask().read() == b"aa"
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0


def test_sigterm_before_anybody_is_let_in_ends_the_process_at_once(tmp_path):
    silent = Server().start()
    silent.serve = lambda sock: sock.recv(1) and sock.recv(1 << 16) and sock.recv(1)  # asked, it says nothing
    with gateway(tmp_path, settings={"Discovery": "push"}, source=silent, serves=False) as ran:
        until(lambda: silent.connections)
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        assert "event=serving" not in ran.log() and counted(ran.log(), "stopped")["open"] == 0


# The first connection is accepted, and not yet among the clients until the stop has looked at them twice.
ADMITS_LATE = """
import threading
from lemonlead.gateway.clients import Gate

looks, accepted = threading.Semaphore(0), threading.Event()
made_room, close_idle, close = Gate.made_room, Gate.close_idle, Gate.close

def late(gate):
    accepted.set()
    looks.acquire() and looks.acquire()
    return made_room(gate)

def look(gate):
    left = close_idle(gate)
    looks.release()
    return left

def closing(gate):
    accepted.wait()
    close(gate)

Gate.made_room, Gate.close_idle, Gate.close = late, look, closing
"""


def test_a_connection_that_was_accepted_last_is_served_though_no_other_client_is_left(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=ADMITS_LATE + GATEWAY) as ran:
        client = ran.client().ask()
        ran.process.send_signal(signal.SIGTERM)
        assert client.read() == b"aa" and client.read() is None
        assert ran.process.wait(60) == 0
        assert counted(ran.log(), "stopped")["succeeded"] == 1
