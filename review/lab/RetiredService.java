import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A version of the configuration moves a route from one service to another; then the runners of the
 * old service drain and leave. With trouble that version no longer lists the old service.
 */
final class RetiredService {
    static final double DRAIN_S = 2.0;

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.main(Path.of(args[0], "record.txt"), () -> play(trouble));
    }

    record Arrival(String runner, String id, double at) {
    }

    static String route(String service) {
        return Lab.route("r1", "/brief/", "streaming", service, 25000, 4500, 5, ",\"stream_resume\":true,\"target_itl_ms\":700");
    }

    static boolean play(boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        String tenants = "{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1}";
        store.put("config", "main", Lab.config(7, route("llm-old"), tenants, "llm-old", "llm-new"));
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        Lab.Work work = (self, socket, in, request) -> {
            Lab.body(request, in, false);
            arrivals.add(new Arrival(self.id, request.header("Burdockspread-Attempt-Id"), Lab.now()));
            int first = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
            Lab.sleep(500);
            Lab.write(socket, self.head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
            for (int event = first + 1; event <= 130; event++) {
                String text = "id: " + event + "\ndata: seven tokens\n\n";
                Lab.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", new byte[0]);
                Lab.sleep(50);
            }
            Lab.write(socket, "0\r\n\r\n", new byte[0]);
        };
        List<Lab.Runner> old = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Lab.Runner leaving = new Lab.Runner("i-old-" + i, "llm-old", 12, work);
            old.add(leaving);
            store.put("servers", leaving.id, leaving.entry("ready", 1));
            Lab.Runner fresh = new Lab.Runner("i-new-" + i, "llm-new", 12, work);
            store.put("servers", fresh.id, fresh.entry("ready", 1));
        }
        Path directory = Files.createTempDirectory("case");
        Lab.Host host = new Lab.Host(directory, "edge-a", store);
        host.start();
        host.awaitReady();
        Lab.sleep(4500);
        Lab.record("host edge-a is in touch; 12 clients ask for a stream each");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int number = i;
            clients.add(Lab.go(() -> stream(host, "s" + number, number)));
        }
        Lab.sleep(1500);
        store.put("config", "main", trouble
            ? Lab.config(9, route("llm-new"), tenants, "llm-new")
            : Lab.config(9, route("llm-new"), tenants, "llm-old", "llm-new"));
        Lab.record("the store has accepted version 9: the route goes to llm-new; llm-old is %s", trouble ? "no longer listed" : "still listed");
        Lab.sleep(1000);
        Map<String, Double> acknowledged = new HashMap<>();
        for (Lab.Runner runner : old) {
            store.put("servers", runner.id, runner.entry("draining", 2));
            acknowledged.put(runner.id, Lab.now());
        }
        Lab.record("the store has accepted that the runners of llm-old are draining");
        // They serve on for drain_ms and a little longer, some for many seconds.
        Lab.sleep(2400);
        old.get(0).exit();
        store.remove("servers", old.get(0).id);
        Lab.record("runner %s has left", old.get(0).id);
        Lab.sleep(5000);
        for (Lab.Runner runner : old.subList(1, 3)) {
            runner.exit();
            store.remove("servers", runner.id);
        }
        for (Thread client : clients) client.join(15_000);

        int late = 0;
        for (Arrival arrival : arrivals) {
            double since = arrival.at - acknowledged.getOrDefault(arrival.runner, Double.MAX_VALUE);
            if (since > DRAIN_S) {
                late++;
                Lab.record("request %s reached runner %s %.2f s after that runner's draining was accepted", arrival.id, arrival.runner, since);
            }
        }
        long begun = arrivals.stream().map(Arrival::id).distinct().count();
        Lab.record("%d streams began; %d requests reached a draining runner later than drain_ms (%.1f s)", begun, late, DRAIN_S);
        if (begun < 12) throw new IllegalStateException("the streams did not begin");
        if (arrivals.stream().noneMatch(it -> it.runner.equals(old.get(0).id))) throw new IllegalStateException("no stream ran where one was to break");
        return late > 0;
    }

    private static void stream(Lab.Host host, String id, int number) {
        try (Socket socket = new Socket(Lab.LOOP, host.callers())) {
            socket.setSoTimeout(20_000);
            Lab.Message answer = Lab.call(socket, new BufferedInputStream(socket.getInputStream()),
                Callers.stream(id, number), "prompt".getBytes());
            Lab.record("stream %s: %s", id, answer == null ? "closed" : answer.start + (answer.complete ? ", complete" : ", broken off"));
        } catch (IOException e) {
            Lab.record("stream %s: %s", id, e.getMessage());
        }
    }
}
