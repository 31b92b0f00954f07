"""The platform: the state of the newest build, told to whoever asks, and ballots."""

from .server import Server


class PlatformServer(Server):
    """Tells its state to whoever asks for news, and counts ballots, answering with `answer`."""

    def __init__(self):
        super().__init__()
        self.state, self.votes, self.asked = "1 0 released 1 5000", [], 0
        self.answer = lambda ballot: f"OK {self.state}"

    def serve(self, sock):
        lines = sock.makefile("rb")
        while line := lines.readline().decode().strip():
            if line != "NOTIFY":
                self.votes.append(line)
                sock.sendall(self.answer(line).encode() + b"\r\n")
                continue
            self.asked += 1
            told = self.state  # read once: a change after this line is told below, one before it here
            sock.sendall(f"OK\r\n* stage {told}\r\n".encode())
            while True:
                with self.changed:
                    self.changed.wait_for(lambda told=told: self.state != told, 1.0)
                    line, told = ("*" if self.state == told else f"* stage {self.state}"), self.state
                sock.sendall(line.encode() + b"\r\n")

    def publish(self, state):
        with self.changed:
            self.state = state
            self.changed.notify_all()
