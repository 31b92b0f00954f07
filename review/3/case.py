"""A command whose JSON was cut short hangs each member that it is sent to."""

import contextlib
import http.client
import json
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import ROOT, TROUBLE, free_address, run_case, split_address, until  # noqa: E402

NAMES = ("g1", "g2", "g3")
# As deploy/cluster/louis.cue has them.
TIMES = "times: {election: 1s, heartbeat: 150ms, stale: 3s}"
TERMS = "terms: {remember: 15m, lease: 10s, grace: 1s, cold: 5s, cold_share: 0.5}"
ROUTES = 3400  # in the document; the whole command has some 235 KB, of the 256 KiB that one may have
CUT_BYTES = 200 * 1024  # the script that sends it has read so much of its file
SCRIPT_TIMEOUT_SECONDS = 5.0  # then the script asks the next member, with the same id
CALL_TIMEOUT_SECONDS = 3.0  # of the other client's calls
JUDGED_SECONDS = 45.0  # for which the other client asks all members in turn


def call(address, method, path, body=None, timeout=CALL_TIMEOUT_SECONDS):
    """Returns (status, object) of a call, or (0, reason) without an answer."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=timeout)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        data = answer.read()
        with contextlib.suppress(ValueError):
            return answer.status, json.loads(data)
        return answer.status, data[:100]
    except (OSError, http.client.HTTPException) as error:
        return 0, type(error).__name__
    finally:
        connection.close()


def document_command():
    """Returns the bytes of a command that puts a document of routes, itself JSON, as a text into an entry."""
    routes = [{"route": f"r{number}", "to": "front", "zones": ["a", "b"]} for number in range(ROUTES)]
    value = {"document": json.dumps({"routes": routes})}
    entry = {"id": "script/1", "kind": "entry", "scope": "front", "key": "routes", "value": value}
    return json.dumps(entry).encode()


def play(case):
    addresses = {name: free_address() for name in NAMES}
    members = ", ".join(f'{name}: "{address}"' for name, address in addresses.items())
    processes = {}
    for name in NAMES:
        path = case.folder / f"{name}.cue"
        path.write_text(
            f'cluster: "louis"\nmember: "{name}"\ndata: "data-{name}"\nlisten: "{addresses[name]}"\n'
            f"members: {{{members}}}\n{TIMES}\n{TERMS}\n"
        )
        processes[name] = case.start([str(ROOT / "bin" / "lemonlead"), "member", str(path)], name)
    for name in NAMES:
        until(lambda name=name: "event=ready" in case.log(name), f"{name} is not ready")
        until(lambda name=name: call(addresses[name], "GET", "/readyz")[0] == 200, f"{name} knows no leader")
    case.note("three members are ready and know a leader")

    def ask(name, id, timeout=CALL_TIMEOUT_SECONDS, **fields):
        began = time.monotonic()
        code, body = call(addresses[name], "POST", "/v1/commands", json.dumps({"id": id, **fields}), timeout)
        what = body if code == 0 else body.get("at") or body.get("outcome") or body["error"]["says"][:60]
        took = time.monotonic() - began
        case.note(f"tester: {fields['kind']} {id} at {name}: {code} {what} after {took:.2f} s")
        return code

    declared = ask("g1", "tester/1", 15.0, kind="node", node="s-1", site="a", units=100)
    first = ask("g2", "tester/2", 15.0, kind="reserve", reservation="r-1", service="front", units=1, site="a")
    if (declared, first) != (200, 200):
        raise AssertionError("the cluster does not answer before the trial")

    data = document_command()
    sent = data[:CUT_BYTES] if TROUBLE else data

    def script():
        """The operators' script: asks one member after another until one decides."""
        for name in NAMES:
            began = time.monotonic()
            case.note(f"script: entry script/1, {len(sent)} of {len(data)} bytes, to {name}")
            code, body = call(addresses[name], "POST", "/v1/commands", sent, SCRIPT_TIMEOUT_SECONDS)
            says = body["error"]["says"][:80] if code in (400, 409) else body
            case.note(f"script: {name}: {code} {says} after {time.monotonic() - began:.2f} s")
            if code in (200, 400, 409):
                return

    running = threading.Thread(target=script, daemon=True)
    running.start()
    running.join(len(NAMES) * SCRIPT_TIMEOUT_SECONDS + 5.0)
    answered, turn, until_time = [], 0, time.monotonic() + JUDGED_SECONDS
    while time.monotonic() < until_time and len(answered) < len(NAMES):
        name = NAMES[turn % len(NAMES)]
        turn += 1
        fields = {"reservation": f"r-t{turn}", "service": "front", "units": 1, "site": "a"}
        code = ask(name, f"tester/t{turn}", kind="reserve", **fields)
        ready = call(addresses[name], "GET", "/readyz")
        case.note(f"tester: readyz at {name}: {ready[0]} {ready[1] if ready[0] == 0 else ''}")
        if code or ready[0]:
            answered.append(name)
    for name in NAMES:
        case.note(f"{name}: {'runs' if processes[name].poll() is None else 'has ended'}")
    if answered:
        return []
    for process in processes.values():
        process.terminate()
    time.sleep(5.0)
    left = [name for name in NAMES if processes[name].poll() is None]
    case.note(f"5 s after SIGTERM these still run: {', '.join(left) or 'none'}")
    return [f"no member answered anything in {JUDGED_SECONDS:.0f} s: {turn} commands and {turn} readyz"]


if __name__ == "__main__":
    run_case(HERE, play)
