import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A model runner crashes while it sends streams that have no length. */
final class CrashedStream extends Case {
    private static final int RUNNERS = 7;
    private static final int CLIENTS = 14;
    private final List<Process> processes = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final AtomicInteger[] streams = new AtomicInteger[RUNNERS];

    public static void main(String[] args) throws Exception {
        new CrashedStream().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        Deployment deployment = new Deployment(temporary, record, 3, 1, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        for (int i = 1; i <= RUNNERS; i++) {
            String id = "i-llm" + i;
            Process process = new ProcessBuilder("java", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                "StreamRunner", id).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            processes.add(process);
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            addresses.add("127.0.0.1:" + out.readLine());
            AtomicInteger running = streams[i - 1] = new AtomicInteger();
            Runner.daemon(() -> {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    record.line(line);
                    if (line.contains(" runs ")) running.incrementAndGet();
                }
            });
            deployment.store.write("servers", id, entry(i - 1));
        }
        deployment.store.write("config", "main", config());
        return deployment;
    }

    private String entry(int i) {
        return "{\"service\":\"burdock-llm\",\"address\":\"" + addresses.get(i) + "\",\"zone\":\"zone-0\","
            + "\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":"
            + (System.currentTimeMillis() - 1) + ",\"sequence\":0}";
    }

    private static String config() {
        return Deployment.config(8).replace("\"routes\":[", "\"routes\":[{\"name\":\"r-brief\","
            + "\"host\":\"shop.example\",\"path_prefix\":\"/brief/\",\"kind\":\"streaming\",\"timeout_ms\":25000,"
            + "\"target_latency_ms\":4500,\"priority\":1,\"service\":\"burdock-llm\",\"max_attempts\":5,"
            + "\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_itl_ms\":700},")
            .replace("\"services\":[", "\"services\":[{\"name\":\"burdock-llm\",\"health_path\":\"/healthz\","
                + "\"max_connections\":321,\"protocol\":\"h1\",\"tls\":false,\"backend\":{\"slots\":12,"
                + "\"kv_capacity\":55000,\"kv_token_bytes\":131072,\"replicas\":false,"
                + "\"models\":[{\"name\":\"m\"}]}},");
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        Thread.sleep(3_000);
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger endedEarly = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Host host = deployment.hosts.get(i % deployment.hosts.size());
            String id = String.format("%016x", i + 1);
            Thread client = new Thread(() -> read(host, id, record, complete, endedEarly));
            client.start();
            clients.add(client);
            Thread.sleep(20);
        }
        Thread.sleep(1_200);
        if (hasTrouble) {
            int busiest = 0;
            for (int i = 0; i < RUNNERS; i++) if (streams[i].get() > streams[busiest].get()) busiest = i;
            String id = "i-llm" + (busiest + 1);
            processes.get(busiest).destroyForcibly().waitFor();
            record.line("runner " + id + " is killed, with " + streams[busiest] + " streams");
            Runner.daemon(() -> {
                // The store removes an entry after three heartbeat intervals of silence.
                Thread.sleep(3_600);
                deployment.store.remove("servers", id);
            });
        }
        for (Thread client : clients) client.join(30_000);
        record.line("streams " + CLIENTS + ", whole " + complete + ", ended as complete before their last piece "
            + endedEarly);
        if (complete.get() == 0) return COULD_NOT_RUN;
        return endedEarly.get() > 0 ? BROKEN : HELD;
    }

    /** Reads one stream in chunks; counts whether it was whole, or ended too early as if it were. */
    private static void read(Host host, String id, Record record, AtomicInteger complete,
        AtomicInteger endedEarly) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host.ip, Host.CALLERS), 1_000);
            socket.setSoTimeout(25_000);
            socket.getOutputStream().write(("POST /brief/1 HTTP/1.1\r\nHost: shop.example\r\n"
                + "Burdockspread-Attempt-Id: " + id + "\r\nBurdockspread-Deadline-Ms: 25000\r\n"
                + "Burdockspread-Model: m\r\nBurdockspread-Token-Count: 5200,910\r\n"
                + "Burdockspread-Prompt-Prefix: 5c1e07" + id.substring(14) + ":200,91bd3f" + id.substring(14)
                + ":5000\r\nBurdockspread-Key: key-1\r\nContent-Length: 2\r\n\r\n{}")
                .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            Map<String, String> head = Runner.head(in);
            if (head == null) throw new IllegalStateException("closed");
            record.line("client " + id + " at " + host.name + ": " + head.get("") + ", seal "
                + head.get("burdockspread-server-seal"));
            StringBuilder text = new StringBuilder();
            boolean isComplete = chunks(in, text);
            int at = text.lastIndexOf("id: ");
            int last = at < 0 ? 0 : Integer.parseInt(text.substring(at + 4, text.indexOf("\n", at)));
            record.line("client " + id + " got events to " + last + ", "
                + (isComplete ? "ended as complete" : "broken off"));
            if (isComplete && last == StreamRunner.EVENTS) complete.incrementAndGet();
            if (isComplete && head.get("").contains(" 200 ") && last < StreamRunner.EVENTS) {
                endedEarly.incrementAndGet();
            }
        } catch (Exception e) {
            record.line("client " + id + ": " + e);
        }
    }

    /** Reads a body in chunks; returns whether it has its end. */
    private static boolean chunks(InputStream in, StringBuilder text) throws Exception {
        while (true) {
            StringBuilder size = new StringBuilder();
            int next;
            while ((next = in.read()) != '\n') {
                if (next < 0) return false;
                size.append((char) next);
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            byte[] chunk = in.readNBytes(length + 2);
            if (chunk.length < length + 2) return false;
            if (length == 0) return true;
            text.append(new String(chunk, 0, length, StandardCharsets.ISO_8859_1));
        }
    }
}
