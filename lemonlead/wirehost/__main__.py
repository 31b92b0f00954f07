"""`python -m lemonlead.wirehost`: reads frames from standard input and writes replies to standard output."""

import sys

from .codec import BadFrame, read_frame
from .host import Host


def main() -> int:
    host = Host()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(host.reply_to(frame))
            sys.stdout.buffer.flush()
    except BadFrame as error:
        print(f"lemonlead.wirehost: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
