"""A good version is rolled out while a host is stopped and started again: do the
requests of a session stay on their version?"""
import asyncio
import json
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "standins-3"))
import lab as stand  # noqa: E402

HOSTS = 4
WORKERS_A_VERSION = 4
SESSIONS = 240
INTERVAL_S = 0.4      # between two requests of a session
SESSION_S = stand.BOUNDS["session_s"]
IN_TOUCH_S = stand.BOUNDS["stability_window_ms"] / 1000
DURATION_S = 24
STOP_S = 14.0        # from the order to the SIGTERM
PINNED_MAX = 3
SERVICE = "drafting-pool"


class Rollout:
    """What the operator sees of the roll-out."""

    def __init__(self, lab):
        self.lab = lab
        self.ordered_at = None
        self.states = []

    def note(self, topic, key, value):
        if topic == "keyed.status" and key == "rollout/" + SERVICE and value:
            state = json.loads(value)["state"]
            self.states.append((self.lab.now(), state))
            self.lab.record("status: " + state)

    def at(self, state):
        times = [time for time, name in self.states if name == state]
        return times[0] if times else float("inf")


class Sessions:
    """Follows on which version the requests of each session run."""

    def __init__(self, lab, rollout):
        self.lab = lab
        self.rollout = rollout
        self.before = {}   # session: version and end of its last run
        self.sent_by = {}  # request: host
        self.restarts = {}  # host: time of its SIGTERM or start
        self.runs = {}     # request: session and version
        self.pinned = []

    def is_in_touch(self, host):
        return self.lab.now() - self.restarts.get(host, -100) > IN_TOUCH_S

    def on_event(self, worker, event):
        request = event["request"]
        if event["event"] == "end":
            session, version = self.runs[request]
            self.before[session] = (version, self.lab.now())
            return
        session = event["session"]
        self.runs[request] = (session, worker.version)
        version, ended = self.before.get(session, (worker.version, 0))
        now = self.lab.now()
        if version == worker.version or now - ended >= SESSION_S or \
                not self.is_in_touch(self.sent_by[request]):
            return
        in_first_half = worker.version == "v2" and \
            now < self.rollout.ordered_at + DURATION_S / 2
        is_back = worker.version == "v1" and now < self.rollout.at(
            "rolled_back")
        if in_first_half or is_back:
            self.pinned.append(request)
            self.lab.record("PINNED: %s of %s runs on %s, the one before it "
                            "ran on %s" % (request, session, worker.version,
                                           version))


def config():
    route = {"name": "footnotes", "host": "yearbook.example",
             "path_prefix": "/notes/", "kind": "streaming", "service": SERVICE,
             "timeout_ms": 25000, "target_latency_ms": 1500,
             "gap_aim_ms": 1000, "stream_resume": True, "max_attempts": 3,
             "priority": 0, "session_affinity": True}
    return {"version": 3, "routes": [route],
            "services": [{"name": SERVICE, "health_path": "/healthz"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "ministry", "api_keys": ["key-1"]}]}


async def client(lab, sessions, hosts, number, stop):
    connection = stand.Connection(hosts[number % HOSTS])
    await asyncio.sleep(random.random() * INTERVAL_S)
    count = 0
    while not stop.is_set():
        count += 1
        request_id = "%04x%04x" % (number, count)
        host = connection.host
        sessions.sent_by[request_id] = host.name
        lab.record("client sends %s to %s" % (request_id, host.name))
        try:
            status, _, body, is_complete = await connection.call(
                "POST /notes/%d HTTP/1.1\r\nHost: yearbook.example\r\n"
                "X-Request-Id: %s\r\nSession: s-%d\r\nX-Model: m0\r\n"
                "X-Token-Usage: 628,15\r\n"
                "X-Prefix-Hash: 5c1e07a2:198,%04x:300,%s:130\r\n"
                "X-Deadline-Ms: 25000\r\nAuthorization: Token key-1\r\n"
                "Content-Length: 5\r\n\r\n" %
                (number, request_id, number, number, request_id), b"draft")
            lab.record("client gets %s: status %d, %d pieces, %s" %
                       (request_id, status, len(stand.event_ids(body)),
                        "whole" if is_complete else "broken off"))
        except (OSError, asyncio.TimeoutError):
            lab.record("client can't reach %s" % host.name)
        if sessions.restarts.get(host.name, -100) > lab.now() - 4:
            # The platform gives new channels to another machine.
            connection.close()
            connection.host = hosts[(number + 1) % HOSTS]
        await asyncio.sleep(INTERVAL_S * (0.5 + random.random()))
    connection.close()


async def stop_and_start(lab, sessions, host):
    await asyncio.sleep(STOP_S)
    lab.record("SIGTERM for " + host.name)
    sessions.restarts[host.name] = lab.now()
    host.process.send_signal(signal.SIGTERM)
    await host.process.wait()
    await asyncio.sleep(0.3)
    await host.start()
    sessions.restarts[host.name] = lab.now()


async def main(lab):
    store = stand.Store(lab)
    rollout = Rollout(lab)
    sessions = Sessions(lab, rollout)
    store.watchers.append(rollout.note)
    await store.start()
    options = {"slots": 48, "events": 3, "pause_s": 0.015, "has_length": True}
    old = [stand.Worker(lab, store, i, SERVICE, "v1", options)
           for i in range(WORKERS_A_VERSION)]
    new = [stand.Worker(lab, store, WORKERS_A_VERSION + i, SERVICE, "v2",
                        options) for i in range(WORKERS_A_VERSION)]
    for worker in old:
        worker.on_event = sessions.on_event
        await worker.start()
    await store.put("keyed.op", "config", json.dumps(config()).encode())
    hosts = await stand.start_hosts(lab, store, HOSTS)
    await asyncio.sleep(3)
    stop = asyncio.Event()
    clients = [asyncio.ensure_future(client(lab, sessions, hosts, i, stop))
               for i in range(SESSIONS)]
    await asyncio.sleep(4)
    await store.put("keyed.op", "rollout/" + SERVICE, json.dumps(
        {"service": SERVICE, "target": "v2",
         "duration_s": DURATION_S}).encode())
    rollout.ordered_at = lab.now()
    lab.record("order: roll out v2 in %d s" % DURATION_S)
    for worker in new:
        worker.on_event = sessions.on_event
        await worker.start()
    if lab.trouble:
        asyncio.ensure_future(stop_and_start(lab, sessions, hosts[2]))
    while lab.now() < rollout.ordered_at + DURATION_S:
        await asyncio.sleep(0.05)
        if rollout.states and rollout.states[-1][1] != "active":
            break
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    state = rollout.states[-1][1] if rollout.states else "none"
    text = "%d requests ran, status %s after %.1f s of %d; %d requests on " \
           "another version than the one before in their session" % (
               len(sessions.runs), state,
               (rollout.states[-1][0] if rollout.states else lab.now()) -
               rollout.ordered_at, DURATION_S, len(sessions.pinned))
    if len(sessions.runs) < SESSIONS:
        await lab.end(stand.EXIT_NOT_RUN, "too little was served: " + text)
    is_broken = len(sessions.pinned) > PINNED_MAX
    await lab.end(stand.EXIT_BROKEN if is_broken else stand.EXIT_HELD, text)


stand.run(pathlib.Path(__file__).resolve().parent, main)
