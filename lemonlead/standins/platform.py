"""A stand-in for the platform: it announces the state of the newest build and receives votes."""

from .server import Server


class PlatformServer(Server):
    """Announces its state to each connection that sends NOTIFY, and records all other lines as votes.

    `answer(vote)` returns the answer to a vote. `asked` counts the subscriptions.
    """

    def __init__(self):
        super().__init__()
        self.state = "1 0 released 1 5000"
        self.votes = []
        self.asked = 0
        self.answer = lambda vote: f"OK {self.state}"

    def serve(self, sock):
        lines = sock.makefile("rb")
        while line := lines.readline().decode().strip():
            if line != "NOTIFY":
                self.votes.append(line)
                sock.sendall(self.answer(line).encode() + b"\r\n")
                continue
            self.asked += 1
            announced = self.state  # read once: a later change is announced in the loop below
            sock.sendall(f"OK\r\n* stage {announced}\r\n".encode())
            while True:
                with self.changed:
                    self.changed.wait_for(lambda announced=announced: self.state != announced, 1.0)
                    line, announced = (
                        ("*" if self.state == announced else f"* stage {self.state}"),
                        self.state,
                    )
                sock.sendall(line.encode() + b"\r\n")

    def publish(self, state):
        """Announces a new state."""
        with self.changed:
            self.state = state
            self.changed.notify_all()
