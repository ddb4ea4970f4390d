"""Starts and stops a whole system on loopback: fake platform, fake targets, daemons and callers."""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(os.environ.get("COMFREYSAIL_BUILD_DIRECTORY", os.path.join(ROOT, "Build")), "bin")
ZONES = ["pos-hall", "arima", "chaguanas", "tunapuna"]
DEPARTMENTS = ["appeals", "registry", "probate"]
HOSTS = {"orders": "orders.example", "records": "records.example"}

# First port that Linux uses for outgoing connections. Listening ports are chosen below it.
EPHEMERAL_START = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])


def free_ports(count):
    """Returns ports that nothing listens on.

    The search starts at a port derived from the process id, so that concurrent runs get different ports.
    """
    ports = []
    port = 12000 + os.getpid() * 97 % (EPHEMERAL_START - 14000)
    while len(ports) < count:
        port += 1
        if port >= EPHEMERAL_START:
            port = 12000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def encode_value(value):
    """Encodes a value as JSON in base64, as the platform's store expects it in a row."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def call(method, address, path, body=None, timeout=2):
    """Sends an HTTP request. Returns (status, body), or (0, reason) if there is no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(errors="replace")
    except (OSError, ValueError, http.client.HTTPException) as error:
        return 0, str(error)


def require_programs():
    names = ["FakePlatform", "FakeTarget", "LoadGenerator", "comfreysaild", "comfreysail"]
    missing = [name for name in names if not os.path.exists(os.path.join(BIN, name))]
    if missing:
        raise RuntimeError(f"not built in {BIN}: {', '.join(missing)}; run Meta/comfreysail.sh build")


class Program:
    """A process that this run started. It is stopped by its process id, so that no other process is affected."""

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.arguments = arguments
        self.environment = {**os.environ, **(environment or {})}
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            # In its own session, the process does not receive Ctrl-C from the terminal. Only this script does; it then
            # stops all processes in order.
            self.process = subprocess.Popen(
                self.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT, start_new_session=True,
                env=self.environment
            )

    @property
    def is_running(self):
        return self.process.poll() is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def output(self):
        with open(self.log, errors="replace") as log:
            return log.read()


class Target(Program):
    def __init__(self, cluster, name, service, zone, port, options):
        self.service = service
        self.zone = zone
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.executions = os.path.join(cluster.folder, f"{name}.executions")
        arguments = [os.path.join(BIN, "FakeTarget"), "--port", str(port), "--name", name, "--zone", zone]
        arguments += ["--executions-file", self.executions] + options
        super().__init__(name, arguments, cluster.folder)


class Daemon(Program):
    def __init__(self, cluster, name, zone, ports, seeds):
        self.zone = zone
        self.caller, self.peer, self.admin, self.control = (f"127.0.0.1:{port}" for port in ports)
        self.settings = os.path.join(cluster.folder, f"{name}.toml")
        lines = [f'vm_name = "{name}"', f'availability_zone = "{zone}"']
        for section, port in zip(("caller", "peer", "admin", "control"), ports):
            lines += [f"[{section}]", 'address = "127.0.0.1"', f"port = {port}"]
        lines += ["seeds = [" + ", ".join(f'"{seed}"' for seed in seeds) + "]"]
        lines += ["[platform]", 'address = "127.0.0.1"', f"port = {cluster.platform_port}"]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")
        super().__init__(name, [os.path.join(BIN, "comfreysaild"), "--settings", self.settings], cluster.folder)

    def cpu_seconds(self):
        """Returns the processor time used so far (user and system), from /proc."""
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Cluster:
    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="comfreysail-")
        self.programs = []
        self.targets = []
        self.daemons = []
        self.platform = None
        self.slots = 2
        self.platform_port, self.platform_control_port = free_ports(2)

    def add(self, program):
        self.programs.append(program)
        return program

    def start_platform(self):
        arguments = ["--port", str(self.platform_port), "--control-port", str(self.platform_control_port)]
        self.platform = self.add(Program("platform", [os.path.join(BIN, "FakePlatform")] + arguments, self.folder))
        self.wait_for(lambda: call("GET", self.platform_address, "/rows-get?table=settings")[0] == 200, 5, "the platform answers")

    @property
    def platform_address(self):
        return f"127.0.0.1:{self.platform_port}"

    def platform_row(self, table, key):
        """Returns the parsed JSON value of a row in the platform's store, or None if it does not exist."""
        status, body = call("GET", self.platform_address, f"/rows-get?table={table}&from={key}&limit=1")
        rows = json.loads(body)["rows"] if status == 200 else []
        if not rows or rows[0]["key"] != key:
            return None
        return json.loads(base64.b64decode(rows[0]["value"]))

    def platform_fault(self, mode, **values):
        return call("POST", f"127.0.0.1:{self.platform_control_port}", "/faults", {"mode": mode, **values})

    def start_targets(self, counts, options=()):
        """Starts counts[service] targets of each service, spread over the zones."""
        ports = iter(free_ports(sum(counts.values())))
        for service, count in counts.items():
            for index in range(count):
                zone = ZONES[index % len(ZONES)]
                seed = ["--seed", str(len(self.targets) + 1), "--slots", str(self.slots)]
                name = f"{service}-{index + 1}"
                self.targets.append(self.add(Target(self, name, service, zone, next(ports), list(options) + seed)))
        for target in self.targets:
            self.wait_for(lambda: call("GET", target.address, "/health")[0] == 200, 5, f"{target.name} answers")

    def start_daemons(self, count):
        ports = free_ports(4 * count)
        groups = [ports[4 * index : 4 * index + 4] for index in range(count)]
        vms = [
            {"name": f"vm-{i + 1}", "address": "127.0.0.1", "availability_zone": ZONES[i % len(ZONES)], "state": "live"}
            for i in range(count)
        ]
        puts = [{"table": "comfreysail-vms", "part": "", "key": vm["name"], "value": encode_value(vm)} for vm in vms]
        call("POST", self.platform_address, "/rows-tx", {"precondition": [], "puts": puts, "deletes": []})
        for vm, group in zip(vms, groups):
            seeds = [f"127.0.0.1:{other[3]}" for other in groups if other is not group]
            self.daemons.append(self.add(Daemon(self, vm["name"], vm["availability_zone"], group, seeds)))

    def settings_text(self, extra=""):
        lines = ["[defaults]", "timeout_ms = 5000", extra]
        for zone in ZONES:
            lines += [f"[availability_zones.{zone}]", 'state = "in"', 'region = "tt-judicial"']
        for department in DEPARTMENTS:
            lines += [f"[departments.{department}]", "weight = 1"]
        routes = {
            "status": ("GET", "/status", "lookup", "true"),
            "poison": ("GET", "/poison", "lookup", "true"),
            "create": ("POST", "/orders", "order", "false"),
            "download": ("GET", "/download", "download", "true"),
        }
        for service in sorted({target.service for target in self.targets}):
            lines += [f"[services.{service}]", f'hosts = ["{HOSTS[service]}"]', 'version = "v1"']
            for route, (method, prefix, kind, idempotent) in routes.items():
                lines += [f"[services.{service}.routes.{route}]", f'method = "{method}"', f'path_prefix = "{prefix}"']
                lines += [f'class = "{kind}"', f"idempotent = {idempotent}"]
            for target in self.targets:
                if target.service == service:
                    lines += [f"[[services.{service}.versions.v1.targets]]", f'name = "{target.name}"']
                    lines += ['address = "127.0.0.1"', f"port = {target.port}", f"slots = {self.slots}"]
                    lines += [f'availability_zone = "{target.zone}"']
        return "\n".join(lines) + "\n"

    def apply(self, text, wait=True):
        """Applies a settings file with the comfreysail tool. Returns its exit code and the seconds it took."""
        file = os.path.join(self.folder, "settings.toml")
        with open(file, "w") as settings:
            settings.write(text)
        command = [os.path.join(BIN, "comfreysail"), "apply", file, "--platform", self.platform_address]
        for daemon in self.daemons:
            if daemon.is_running:
                command += ["--daemon", daemon.admin]
        started = time.monotonic()
        result = subprocess.run(
            command + (["--wait"] if wait else []), capture_output=True, text=True, start_new_session=True
        )
        if result.returncode != 0:
            print(f"apply: exit {result.returncode}: {result.stderr}".rstrip())
        return result.returncode, time.monotonic() - started

    def wait_ready(self, seconds=15):
        for daemon in self.daemons:
            self.wait_for(lambda: call("GET", daemon.admin, "/ready")[0] == 200, seconds, f"{daemon.name} is ready")
        # A new home waits 2 s before it sends requests to targets that may be cold (docs/design.md, 4.3).
        time.sleep(2.5)

    def start_all(self, targets, daemons, options=()):
        """Starts all processes, applies the settings and waits until all daemons are ready."""
        self.start_platform()
        self.start_targets(targets, options)
        self.start_daemons(daemons)
        print(f"started: 1 platform, {len(self.targets)} targets, {len(self.daemons)} daemons", flush=True)
        code, seconds = self.apply(self.settings_text())
        if code != 0:
            raise RuntimeError("the settings were not applied")
        print(f"settings in force on every daemon after {seconds:.2f} s", flush=True)
        self.wait_ready()

    def wait_for(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                self.show_logs()
                raise RuntimeError(f"timed out after {seconds} s waiting until {what}")
            time.sleep(0.05)

    def show_logs(self):
        for program in self.programs:
            if not program.is_running:
                print(f"{program.name} ended with {program.process.returncode}:\n{program.output()[-2000:]}")

    def start_load(self, name="callers", daemons=None, **options):
        arguments = [os.path.join(BIN, "LoadGenerator")]
        for daemon in self.daemons if daemons is None else daemons:
            arguments += ["--daemon", daemon.caller]
        for target in self.targets:
            arguments += ["--target", target.address, "--executions-file", target.executions]
        arguments += ["--department"] + DEPARTMENTS
        arguments += ["--host", HOSTS["orders"]]
        if any(target.service == "records" for target in self.targets):
            arguments += ["--download-host", HOSTS["records"]]
        for option, value in options.items():
            arguments += ["--" + option.replace("_", "-")] + ([] if value is True else [str(value)])
        return self.add(Program(name, arguments, self.folder))

    def last_line(self, program):
        """Returns the key=value pairs of the last line that starts with requests=, or {} if there is none."""
        lines = [line for line in program.output().splitlines() if line.startswith("requests=")]
        pairs = (pair.split("=", 1) for pair in (lines[-1].split() if lines else []))
        return {key: value for key, value in pairs}

    def stop(self):
        """Stops all processes that this run started, in reverse order of their start, so daemons before targets."""
        running = [program for program in reversed(self.programs) if program.is_running]
        for program in running:
            program.send(signal.SIGCONT)
            program.send(signal.SIGTERM if program not in self.daemons else signal.SIGINT)
        end = time.monotonic() + 8
        for program in running:
            try:
                program.process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.kill()
                print(f"{program.name} did not stop in time and was killed")

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def run(main):
    """Calls main(cluster) and returns its exit code. Always stops all started processes, also after an error."""

    def interrupt(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    cluster = Cluster()
    code = 1
    try:
        require_programs()
        code = main(cluster)
    except KeyboardInterrupt:
        print("interrupted: stopping", file=sys.stderr)
        code = 130
    except RuntimeError as error:
        print(f"error: {error}", file=sys.stderr)
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        cluster.stop()
        if code == 0:
            cluster.remove_folder()
        else:
            print(f"logs: {cluster.folder}", file=sys.stderr)
    return code


def report(values, keys):
    """Formats the given keys of `values` as key=value pairs, which scripts print as their last line."""
    return " ".join(f"{key}={values.get(key, 'missing')}" for key in keys)
