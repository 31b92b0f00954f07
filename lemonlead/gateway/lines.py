"""The gateway's log: a line of `name=value` pairs on standard output for each event, by the standard library:
a start pays for each import from its share of a core."""

import logging
import sys
import time


class Log(logging.LoggerAdapter):
    """`log.info("serving", port=6379)`: the event, and what is told of it. No pair is named msg or level."""

    def process(self, event, told):
        return event, {"extra": {"told": {**self.extra, **told}}}


class Lines(logging.Formatter):
    def format(self, record):
        seconds, micros = divmod(int(record.created * 1e6), 1_000_000)
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        told = {"timestamp": f"{moment}.{micros:06}Z", "level": record.levelname.lower(), "event": record.msg}
        return " ".join(pair(name, value) for name, value in {**told, **record.told}.items())


def pair(name, value):
    """In logfmt: quoted where it would be read as more than one, True as the name alone, None as no value."""
    if value is True:
        return name
    text = "" if value is None else "false" if value is False else str(value)
    quoted = " " in text or "=" in text or '"' in text
    if quoted:
        text = text.replace("\\", "\\\\")
    text = text.replace('"', '\\"').replace("\n", "\\n")
    return f'{name}="{text}"' if quoted else f"{name}={text}"


def opened(stream=None, **always):
    """The log that writes to the stream, standard output if none, with these pairs on each line. Each line is
    written whole and at once, from any thread. One that cannot be written is told on standard error and ends
    no thread: what the thread was to do matters more."""
    logging._srcfile = None  # as its manual has it: what no line shows is not looked up
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(Lines())
    logger = logging.Logger("lemonlead.gateway", logging.INFO)  # of no tree: no handlers but ours
    logger.addHandler(handler)
    return Log(logger, always)
