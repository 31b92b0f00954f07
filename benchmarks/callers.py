"""Clients that cost little beside what they measure: HTTP/1.1 on kept connections, a call at a time each."""

import asyncio
import json
import time


class Caller(asyncio.Protocol):
    """One connection. `ask` gives (status, body) or raises ConnectionError."""

    def __init__(self):
        self.data, self.waiting, self.transport = bytearray(), None, None

    @classmethod
    async def to(cls, address):
        host, _, port = address.rpartition(":")
        _, caller = await asyncio.get_running_loop().create_connection(cls, host, int(port))
        return caller

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        head = self.data.find(b"\r\n\r\n")
        if head < 0 or self.waiting is None:
            return
        at = self.data.lower().find(b"content-length:", 0, head)
        end = head + 4 + int(self.data[at + 15 : self.data.find(b"\r\n", at)])
        if len(self.data) >= end:
            answer = int(self.data[9:12]), bytes(self.data[head + 4 : end])
            del self.data[:end]
            waiting, self.waiting = self.waiting, None
            if not waiting.done():
                waiting.set_result(answer)

    def connection_lost(self, error):
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionError("the connection ended"))

    async def ask(self, method, path, body=None):
        data = b"" if body is None else json.dumps(body).encode()
        if self.transport.is_closing():
            raise ConnectionError("the connection ended")
        self.waiting = asyncio.get_running_loop().create_future()
        self.transport.write(
            b"%b %b HTTP/1.1\r\nHost: m\r\nContent-Length: %d\r\n\r\n%b"
            % (method.encode(), path.encode(), len(data), data)
        )
        return await self.waiting

    def close(self):
        self.transport.abort()


class Load:
    """What callers did: (moment of the answer, seconds that it took) of each that succeeded."""

    def __init__(self):
        self.answers, self.failed, self.seconds = [], 0, 0.0
        self.cpu = 0.0  # seconds an answer, of those who gave it, where that was measured

    @property
    def a_second(self):
        return len(self.answers) / self.seconds

    def took(self, share):
        """The time that this share of the answers took at most, seconds."""
        took = sorted(seconds for _, seconds in self.answers)
        return took[min(int(len(took) * share), len(took) - 1)] if took else float("nan")

    def longest(self):
        return max((seconds for _, seconds in self.answers), default=0.0)


async def loaded(address, clients, enough, call):
    """So many callers ask on, until `enough(load)` at an answer. `call(client, number)`: what."""
    load = Load()
    callers = [await Caller.to(address) for _ in range(clients)]
    began, over = time.perf_counter(), asyncio.Event()

    async def run(client, caller):
        number = 0
        while not over.is_set():
            before = time.perf_counter()
            code, _ = await caller.ask(*call(client, number))
            now = time.perf_counter()
            if code == 200:
                load.answers.append((now, now - before))
            else:
                load.failed += 1
            load.seconds = now - began
            if enough(load):
                over.set()
            number += 1

    try:
        await asyncio.gather(*(run(*pair) for pair in enumerate(callers)))
    finally:
        for caller in callers:
            caller.close()
    return load


def load(address, clients, call, seconds=None, answers=None):
    def enough(load):
        done = answers is not None and len(load.answers) >= answers
        return done or seconds is not None and load.seconds >= seconds

    return asyncio.run(loaded(address, clients, enough, call))
