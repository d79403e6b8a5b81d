import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the platform, the runners and the clients, and the processes under test. */
final class Lab {
    static final long T0 = System.nanoTime();
    static final InetAddress LOOP = InetAddress.getLoopbackAddress();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static final List<String> RECORD = new CopyOnWriteArrayList<>();

    static double now() {
        return (System.nanoTime() - T0) / 1e9;
    }

    static void record(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values);
        RECORD.add(line);
        System.out.println(line);
    }

    /** Runs a case; ends the JVM with 0 (held), 1 (broken) or 2 (could not run). */
    static void main(Path record, Callable<Boolean> broken) {
        Thread watchdog = new Thread(() -> {
            sleep(110_000);
            record("the case took too long");
            finish(record, 2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            code = broken.call() ? 1 : 0;
        } catch (Throwable e) {
            StringWriter text = new StringWriter();
            e.printStackTrace(new PrintWriter(text));
            record("the case could not run: %s", text);
            code = 2;
        }
        finish(record, code);
    }

    private static synchronized void finish(Path record, int code) {
        PROCESSES.forEach(Process::destroyForcibly);
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                break;
            }
        }
        record("exit %d (%s)", code, code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "could not run");
        try {
            Files.write(record, RECORD);
        } catch (IOException e) {
            System.out.println(e);
        }
        Runtime.getRuntime().halt(code);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread go(Runnable task) {
        Thread thread = new Thread(null, task, "lab", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns ports that are free at that address. */
    static int[] freePorts(InetAddress ip, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, ip);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    // ------------------------------------------------------------------ messages

    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the body is complete. */
        boolean complete = true;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) return null;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        message.start = first;
        while (true) {
            String next = line(in);
            if (next == null) return null;
            if (next.isEmpty()) return message;
            int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
        }
    }

    /** Reads the body; one without a length ends with the connection. */
    static void body(Message message, InputStream in, boolean isResponse) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            try {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        message.complete = false;
                        break;
                    }
                    int length = Integer.parseInt(size.trim().split(";")[0], 16);
                    byte[] chunk = in.readNBytes(length);
                    out.write(chunk);
                    if (chunk.length < length) message.complete = false;
                    line(in);
                    if (length == 0 || !message.complete) break;
                }
            } catch (IOException e) {
                message.complete = false;
            }
            message.body = out.toByteArray();
        } else if (message.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            message.complete = message.body.length == length;
        } else if (isResponse) {
            message.body = in.readAllBytes();
        }
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    interface Service {
        /** Serves one connection until it returns. */
        void serve(Socket socket, InputStream in) throws Exception;
    }

    static ServerSocket listen(Service service) throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, LOOP);
        go(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                    socket.setTcpNoDelay(true);
                } catch (IOException e) {
                    return;
                }
                go(() -> {
                    try (socket) {
                        service.serve(socket, new BufferedInputStream(socket.getInputStream()));
                    } catch (Exception e) {
                        // The peer has closed the connection.
                    }
                });
            }
        });
        return listener;
    }

    // ------------------------------------------------------------------ the platform's store

    /** Objects by kind and name, one revision counter, lists in pages and watches. */
    static final class Store {
        private final TreeMap<String, String> specs = new TreeMap<>();
        private final Map<String, Long> revisions = new HashMap<>();
        private final List<Object[]> events = new ArrayList<>();
        private long revision = 10;
        private long historyFrom = 0;
        private final ServerSocket listener;
        volatile int pageSize = 500;

        /** Age of what a cached list returns, for its first page and for the pages that follow. */
        volatile double firstPageAge = 0;
        volatile double nextPageAge = 0;
        private final List<Object[]> all = new ArrayList<>();
        final AtomicInteger calls = new AtomicInteger();

        Store() throws IOException {
            listener = listen(this::serve);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Writes an object as the operator, a runner or another writer does; returns the revision. */
        synchronized long put(String kind, String name, String spec) {
            String key = kind + "/" + name;
            specs.put(key, spec);
            revisions.put(key, ++revision);
            log(kind, name, spec, false);
            return revision;
        }

        synchronized void remove(String kind, String name) {
            String spec = specs.remove(kind + "/" + name);
            revisions.remove(kind + "/" + name);
            if (spec == null) return;
            revision++;
            log(kind, name, spec, true);
        }

        private void log(String kind, String name, String spec, boolean deleted) {
            Object[] event = {revision, kind, name, spec, deleted, now()};
            events.add(event);
            all.add(event);
            notifyAll();
        }

        /** Returns a list as of some time ago, as a replica of the store that lags answers it. */
        private String cached(String kind, String after, double age) {
            TreeMap<String, String> then = new TreeMap<>();
            long at = 10;
            for (Object[] event : all) {
                if ((Double) event[5] > now() - age) break;
                at = (Long) event[0];
                if (!event[1].equals(kind)) continue;
                String name = (String) event[2];
                if ((Boolean) event[4]) then.remove(name);
                else then.put(name, "{\"metadata\":{\"name\":" + quote(name) + ",\"revision\":" + at
                    + ",\"created\":1,\"finalizers\":[],\"deletion_pending\":false},\"spec\":" + event[3] + ",\"status\":{}}");
            }
            if (after != null) then = new TreeMap<>(then.tailMap(after, false));
            List<String> entries = new ArrayList<>();
            int bytes = 0;
            for (String entry : then.values()) {
                bytes += entry.length();
                if (entries.size() == pageSize || !entries.isEmpty() && bytes > 1_100_000) break;
                entries.add(entry);
            }
            boolean more = entries.size() < then.size();
            record("store: cached list of %s %s, as of %.1f s ago, revision %d", kind,
                after == null ? "from the start" : "from " + after, age, at);
            return "200{\"entries\":[" + String.join(",", entries) + "],\"has_more\":" + more + ",\"at\":" + at + "}";
        }

        /** Forgets the history; a watch that waits is cut off. */
        synchronized void compact() {
            events.clear();
            historyFrom = revision;
            generation++;
            notifyAll();
        }

        private int generation = 0;

        private void serve(Socket socket, InputStream in) throws Exception {
            while (true) {
                Message request = Lab.head(in);
                if (request == null) return;
                body(request, in, false);
                calls.incrementAndGet();
                String answer = answer(request);
                if (answer == null) return;
                int status = Integer.parseInt(answer.substring(0, 3));
                byte[] bytes = answer.substring(3).getBytes(StandardCharsets.UTF_8);
                Lab.write(socket, "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n", bytes);
            }
        }

        private String object(String key) {
            String name = key.substring(key.indexOf('/') + 1);
            return "{\"metadata\":{\"name\":" + quote(name) + ",\"revision\":" + revisions.get(key)
                + ",\"created\":1,\"finalizers\":[],\"deletion_pending\":false},\"spec\":" + specs.get(key)
                + ",\"status\":{}}";
        }

        private synchronized String answer(Message request) throws Exception {
            String target = request.path();
            String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
            Map<String, String> query = new HashMap<>();
            if (target.contains("?")) {
                for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                    int eq = part.indexOf('=');
                    if (eq > 0) query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), "UTF-8"));
                }
            }
            String[] parts = path.split("/");
            if (parts.length < 4 || !parts[2].equals("objects")) return "404{}";
            String kind = parts[3];
            String name = parts.length > 4 ? URLDecoder.decode(parts[4], "UTF-8") : null;
            switch (request.method()) {
                case "GET":
                    if (name != null) {
                        return specs.containsKey(kind + "/" + name) ? "200" + object(kind + "/" + name) : "404{}";
                    }
                    if ("1".equals(query.get("serializable"))) {
                        String after = query.get("since_revision");
                        return cached(kind, after, after == null ? firstPageAge : nextPageAge);
                    }
                    return query.containsKey("watch") ? watch(kind, query) : list(kind, query.get("since_revision"));
                case "POST":
                    return write(kind, name(request), request, true);
                case "PUT":
                    return write(kind, name, request, false);
                case "DELETE":
                    if (!specs.containsKey(kind + "/" + name)) return "404{}";
                    String deleted = object(kind + "/" + name);
                    remove(kind, name);
                    return "200" + deleted;
                default:
                    return "405{}";
            }
        }

        private String name(Message request) {
            return field(new String(request.body, StandardCharsets.UTF_8), "name");
        }

        private String write(String kind, String name, Message request, boolean isNew) {
            String body = new String(request.body, StandardCharsets.UTF_8);
            String key = kind + "/" + name;
            if (isNew && specs.containsKey(key)) return "409" + object(key);
            if (!isNew && !specs.containsKey(key)) return "404{}";
            String given = field(body, "revision");
            if (!isNew && given != null && !given.equals("" + revisions.get(key))) return "409" + object(key);
            int at = body.indexOf("\"spec\":");
            put(kind, name, body.substring(at + 7, body.length() - 1));
            return "200" + object(key);
        }

        private String list(String kind, String after) {
            StringBuilder out = new StringBuilder("200{\"entries\":[");
            int count = 0;
            boolean more = false;
            for (String key : specs.keySet()) {
                if (!key.startsWith(kind + "/")) continue;
                String name = key.substring(kind.length() + 1);
                if (after != null && name.compareTo(after) <= 0) continue;
                // A page holds so many entries, or about 1 MB.
                if (count == pageSize || out.length() > 0 && out.length() + specs.get(key).length() > 1_100_000) {
                    more = true;
                    break;
                }
                if (count++ > 0) out.append(',');
                out.append(object(key));
            }
            return out.append("],\"has_more\":").append(more).append(",\"at\":").append(revision).append('}').toString();
        }

        private String watch(String kind, Map<String, String> query) throws InterruptedException {
            long since = Long.parseLong(query.get("watch"));
            long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
            int before = generation;
            while (true) {
                if (generation != before) return null;
                if (since < historyFrom) return "410{}";
                StringBuilder out = new StringBuilder();
                for (Object[] event : events) {
                    if ((Long) event[0] <= since || !event[1].equals(kind)) continue;
                    if (out.length() > 0) out.append(',');
                    out.append("{\"deleted\":").append(event[4]).append(",\"object\":{\"metadata\":{\"name\":")
                        .append(quote((String) event[2])).append(",\"revision\":").append(event[0])
                        .append("},\"spec\":").append(event[3]).append("}}");
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (out.length() > 0 || left <= 0) return "200{\"events\":[" + out + "],\"at\":" + revision + "}";
                wait(left);
            }
        }
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    /** Returns a field of a JSON text, or null. */
    static String field(String json, String name) {
        java.util.regex.Matcher found =
            java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return found.find() ? found.group(1) : null;
    }

    // ------------------------------------------------------------------ runners

    interface Work {
        /** Answers a request that begins to run. */
        void run(Runner runner, Socket socket, InputStream in, Message request) throws Exception;
    }

    /** A runner with slots, a queue and an id, that reports its load. */
    static final class Runner {
        final String id;
        final String service;
        final int slots;
        final ServerSocket listener;
        final Work work;
        final AtomicInteger running = new AtomicInteger();
        final List<String> ran = new CopyOnWriteArrayList<>();
        final List<String[]> seen = new CopyOnWriteArrayList<>();
        final long born = System.currentTimeMillis();

        Runner(String id, String service, int slots, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.work = work;
            listener = listen(this::serve);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String entry(String state, int sequence) {
            return "{\"service\":" + quote(service) + ",\"address\":" + quote(address())
                + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":" + quote(state)
                + ",\"cold_remaining_ms\":0,\"phase\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"loras\":[]}],"
                + "\"sequence\":" + sequence + ",\"born\":" + born + "}";
        }

        String load() {
            int now = running.get();
            return Math.min(now, slots) + "," + Math.max(0, now - slots) + "," + slots;
        }

        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        /** Ends like a process: nothing listens any more, and the open connections are closed. */
        void exit() throws IOException {
            listener.close();
            for (Socket socket : open) socket.close();
        }

        private void serve(Socket socket, InputStream in) throws Exception {
            open.add(socket);
            try {
                serveAll(socket, in);
            } finally {
                open.remove(socket);
            }
        }

        private void serveAll(Socket socket, InputStream in) throws Exception {
            while (true) {
                Message request = Lab.head(in);
                if (request == null) return;
                if (request.path().equals("/healthz") || request.path().startsWith("/burdockspread/report")) {
                    byte[] body = "{\"phase\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"loras\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kv_occupied\":0,\"kv_size\":55000,\"kv_handles\":0}".getBytes();
                    write(socket, "HTTP/1.1 200 OK\r\nBurdockspread-Instance-Id: " + id + "\r\nContent-Length: " + body.length + "\r\n\r\n", body);
                    continue;
                }
                if (!request.header("Burdockspread-Expect-Instance").equals(id)) {
                    body(request, in, false);
                    write(socket, "HTTP/1.1 421 X\r\nBurdockspread-Attempt-Id: " + request.header("Burdockspread-Attempt-Id") + "\r\nBurdockspread-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                running.incrementAndGet();
                try {
                    work.run(this, socket, in, request);
                } finally {
                    running.decrementAndGet();
                }
            }
        }

        String head(Message request, int status) {
            return "HTTP/1.1 " + status + " X\r\nBurdockspread-Attempt-Id: " + request.header("Burdockspread-Attempt-Id")
                + "\r\nBurdockspread-Server-Seal: " + id + "." + request.header("Burdockspread-Attempt-Id")
                + "\r\nBurdockspread-Instance-Load: " + load() + "\r\n";
        }

        /** Answers with a body of known length. */
        void answer(Socket socket, Message request, byte[] body) throws IOException {
            write(socket, head(request, 200) + "Content-Length: " + body.length + "\r\n\r\n", body);
        }
    }

    // ------------------------------------------------------------------ the system under test

    /** A process of the deploy file. */
    static final class Host {
        final String name;
        /** The ports are the same on all machines; each has an address of its own. */
        private static int[] ports;
        private static int machines = 0;
        final InetAddress ip;
        final Path settings;
        final Path log;
        private final Path directory;
        private Process process;

        Host(Path directory, String name, Store store, Host... seeds) throws IOException {
            this.name = name;
            this.directory = directory;
            ip = InetAddress.getByAddress(new byte[] {127, 0, 1, (byte) ++machines});
            if (ports == null) ports = freePorts(ip, 5);
            settings = directory.resolve(name + ".json");
            log = directory.resolve(name + ".log");
            StringJoiner peers = new StringJoiner(",");
            peers.add(quote(peer()));
            for (Host seed : seeds) peers.add(quote(seed.peer()));
            String at = ip.getHostAddress() + ":";
            // deploy/forward.json.template, filled in.
            Files.writeString(settings, "{\"host\":{\"name\":" + quote(name) + ",\"failureDomain\":\"zone-a\"},"
                + "\"callerAddress\":" + quote(at + ports[0]) + ",\"readyAddress\":" + quote(at + ports[1])
                + ",\"peerAddress\":" + quote(peer()) + ",\"operatorAddress\":" + quote(at + ports[3])
                + ",\"loadAddress\":" + quote(at + ports[4]) + ",\"storeAddress\":" + quote(store.address())
                + ",\"seedPeers\":[" + peers + "],\"retries\":{\"ratio\":0.8,\"slack\":321},"
                + "\"targetLeaveLimitMillis\":2000,\"catalogApplyLimitMillis\":2000,"
                + "\"targetReportIntervalMillis\":1200,\"stopGrace\":\"8s\"}");
        }

        String peer() {
            return ip.getHostAddress() + ":" + ports[2];
        }

        /** Connects to the address for callers. */
        Socket connect() throws IOException {
            return new Socket(ip, ports[0]);
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of("java", "@deploy/forward.options",
                "-XX:SharedArchiveFile=target/forward/classes.jsa", "-jar",
                "target/forward/burdock-platform-0.1.0.jar", "--config", settings.toString()));
            process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
            PROCESSES.add(process);
            record("host %s started, process %d", name, process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        /** Ends the process as a kill does, and waits for its end. */
        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record("host %s was killed", name);
        }

        void signal(String signal) throws Exception {
            record("host %s gets SIG%s", name, signal);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 400; i++) {
                if (!process.isAlive()) throw new IllegalStateException("host " + name + " ended");
                if (ready() == 200) {
                    record("host %s is ready", name);
                    return;
                }
                sleep(50);
            }
            throw new IllegalStateException("host " + name + " is not ready after 20 s");
        }

        int ready() {
            try (Socket socket = new Socket(ip, ports[1])) {
                socket.setSoTimeout(1000);
                Lab.write(socket, "GET /burdockspread/readyz HTTP/1.1\r\nHost: h\r\n\r\n", new byte[0]);
                Message answer = head(socket.getInputStream());
                return answer == null ? 0 : answer.status();
            } catch (IOException e) {
                return 0;
            }
        }

        /** Returns the peak of the resident memory in MB, or -1. */
        int peakMegabytes() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmHWM:")) return Integer.parseInt(line.replaceAll("\\D", "")) / 1024;
                }
            } catch (IOException e) {
                return -1;
            }
            return -1;
        }

        String logTail(int lines) {
            try {
                List<String> all = Files.readAllLines(log);
                return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    // ------------------------------------------------------------------ configurations

    static String route(String name, String prefix, String kind, String service, int timeout, int target, int attempts, String more) {
        return "{\"name\":" + quote(name) + ",\"host\":\"desk.example\",\"path_prefix\":" + quote(prefix) + ",\"kind\":" + quote(kind)
            + ",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":2,\"service\":" + quote(service)
            + ",\"max_attempts\":" + attempts + ",\"anonymous\":false" + more + "}";
    }

    static String config(int version, String routes, String tenants) {
        return config(version, routes, tenants, "llm");
    }

    /** A service of model runners as the configuration describes it. */
    static String llm(String name) {
        return "{\"name\":" + quote(name) + ",\"health_path\":\"/healthz\",\"max_connections\":321,\"protocol\":\"h1\",\"tls\":false,\"backend\":{\"slots\":12,\"kv_capacity\":55000,\"kv_token_bytes\":163840,\"link_mbps\":1100000.0,\"migrations\":true,\"replicas\":true,\"stride\":7,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":4.0,\"models\":[{\"name\":\"m\"}]}}";
    }

    static String config(int version, String routes, String tenants, String... pools) {
        StringBuilder services = new StringBuilder();
        for (String pool : pools) services.append(llm(pool)).append(',');
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + services
            + "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":214,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[" + tenants + "]}";
    }

    // ------------------------------------------------------------------ clients

    /** Sends one request and reads its answer; null if the connection ended without one. */
    static Message call(Socket socket, InputStream in, String head, byte[] body) throws IOException {
        write(socket, head, body);
        Message answer = head(in);
        if (answer != null) body(answer, in, true);
        return answer;
    }
}
