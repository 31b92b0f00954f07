"""The gateway's log: a line of `name=value` pairs on standard output for each event.

It uses the standard library only, because every import costs a start time on its share of a core."""

import logging
import sys
import time


class Log(logging.LoggerAdapter):
    """A log of events with fields: `log.info("serving", port=6379)`. No field may be named msg or level."""

    def process(self, event, fields):
        return event, {"extra": {"fields": {**self.extra, **fields}}}


class LogfmtFormatter(logging.Formatter):
    def format(self, record):
        seconds, micros = divmod(int(record.created * 1e6), 1_000_000)
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        head = {
            "timestamp": f"{timestamp}.{micros:06}Z",
            "level": record.levelname.lower(),
            "event": record.msg,
        }
        return " ".join(pair(name, value) for name, value in {**head, **record.fields}.items())


def pair(name, value):
    """Formats a pair as logfmt: the value is quoted if it would not be read as one word. True becomes the
    name alone, None an empty value."""
    if value is True:
        return name
    text = "" if value is None else "false" if value is False else str(value)
    quoted = " " in text or "=" in text or '"' in text
    if quoted:
        text = text.replace("\\", "\\\\")
    text = text.replace('"', '\\"').replace("\n", "\\n")
    return f'{name}="{text}"' if quoted else f"{name}={text}"


def open_log(stream=None, **fields):
    """Returns a log that writes to the stream, by default standard output, with these fields on each line.
    Any thread may use it; each line is written whole and at once. A line that cannot be written is reported
    on standard error and ends no thread, because the thread's own work matters more."""
    logging._srcfile = None  # as the manual of `logging` advises: skips looking up what no line shows
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(LogfmtFormatter())
    logger = logging.Logger("lemonlead.gateway", logging.INFO)  # outside the logger tree: only our handler
    logger.addHandler(handler)
    return Log(logger, fields)
