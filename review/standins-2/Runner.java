import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A sound runner of a plain service: it runs what it gets and answers with its signature. */
final class Runner {
    final String id;
    final String address;
    private final Store store;
    private final Record record;
    private final String service;
    private final String zone;
    private final long born = System.currentTimeMillis();

    /** Share of its requests that the runner runs and then answers with its own 503. */
    volatile double failing;

    /** The ids of the requests that this runner has run, with the tenant that it was told. */
    final Map<String, String> ran = new ConcurrentHashMap<>();

    Runner(String id, String service, String zone, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + server.getLocalPort();
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
        daemon(() -> {
            while (true) {
                beat();
                Thread.sleep(1_200);
            }
        });
    }

    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the process has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        store.write("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":0}");
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        while (true) {
            Map<String, String> head = head(in);
            if (head == null) return;
            int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
            in.readNBytes(length);
            String attempt = head.get("burdockspread-attempt-id");
            String expected = head.get("burdockspread-expect-instance");
            String line = head.get("");
            String status = "200 OK";
            String body = "{}";
            String more = "";
            if (attempt != null && expected != null && !expected.equals(id)) {
                status = "421 Misdirected Request";
                more = "Burdockspread-Instance-Id: " + id + "\r\n";
            } else if (attempt != null) {
                Thread.sleep(10);
                String tenant = head.getOrDefault("burdockspread-tenant", "");
                record.line("runner " + id + " ran " + attempt + " of tenant " + tenant);
                ran.put(attempt, tenant);
                if (ThreadLocalRandom.current().nextDouble() < failing) status = "503 Service Unavailable";
                body = "{\"ran\":\"" + attempt + "\",\"by\":\"" + id + "\"}";
                more = "Burdockspread-Attempt-Id: " + attempt + "\r\nBurdockspread-Server-Seal: " + id
                    + "." + attempt + "\r\nBurdockspread-Instance-Load: 1,0,6\r\n";
            } else if (!line.startsWith("GET /burdockspread/report") && !line.startsWith("GET /healthz")) {
                status = "400 Bad Request";
                more = "Burdockspread-Not-Executed: 1\r\n";
            }
            byte[] bytes = ("HTTP/1.1 " + status + "\r\n" + more + "Content-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\nKeep-Alive: timeout=5\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
            out.write(bytes);
            out.flush();
        }
    }

    /** Reads the head of a message: its fields by lower-case name, its first line under "". */
    static Map<String, String> head(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int next = in.read();
            if (next < 0) return null;
            bytes.write(next);
            last = last << 8 | next;
        }
        Map<String, String> fields = new TreeMap<>();
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        fields.put("", lines[0]);
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            fields.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return fields;
    }
}
