import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A runner reports that it drains; then a host of the system starts. Its first list of runners is
 * read with serializable = 1 in two pages. With trouble, the second page comes from a replica that
 * is a few seconds behind. The draining runner serves on for some seconds and leaves.
 */
final class StalePages {
    static final double DRAIN_S = 2.0;
    static final double STABLE_S = 3.0;

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.main(Path.of(args[0], "record.txt"), () -> play(trouble));
    }

    static boolean play(boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        // The site files page their store at 50 entries.
        store.pageSize = 50;
        store.nextPageAge = trouble ? 5.0 : 0.0;
        store.put("config", "main", Lab.config(7,
            Lab.route("r1", "/brief/", "streaming", "llm", 25000, 4500, 5, ",\"stream_resume\":true,\"target_itl_ms\":700") + ","
                + Lab.route("r2", "/order/", "non_idempotent", "desk", 1200, 150, 1, ""),
            "{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1}"));
        Map<String, List<Double>> arrivals = new ConcurrentHashMap<>();
        Lab.Work work = (self, socket, in, request) -> {
            Lab.body(request, in, false);
            arrivals.computeIfAbsent(self.id, id -> new CopyOnWriteArrayList<>()).add(Lab.now());
            Lab.sleep(150);
            self.answer(socket, request, "booked".getBytes());
        };
        // 60 runners of the model, which get no requests here, and three of the order desk.
        for (int i = 0; i < 60; i++) {
            Lab.Runner runner = new Lab.Runner(String.format("i-%08x", 0x10000000L + i * 0x3000000L), "llm", 12, work);
            store.put("servers", runner.id, runner.entry("ready", 1));
        }
        List<Lab.Runner> desk = new ArrayList<>();
        for (String id : List.of("i-08d1c2aa", "i-20f3b9c4", "i-f2a91c07")) {
            Lab.Runner runner = new Lab.Runner(id, "desk", 6, work);
            desk.add(runner);
            store.put("servers", id, runner.entry("ready", 1));
        }
        // The list is older than the lag of the replica when something changes.
        Lab.sleep(6000);

        Lab.Runner leaving = desk.get(2);
        store.put("servers", leaving.id, leaving.entry("draining", 2));
        double acknowledged = Lab.now();
        Lab.record("the store has accepted that runner %s is draining; it serves on for many seconds", leaving.id);
        Lab.sleep(500);
        Path directory = Files.createTempDirectory("case");
        Lab.Host host = new Lab.Host(directory, "edge-a", store);
        host.start();
        double started = Lab.now();
        host.awaitReady();
        Lab.sleep((long) ((started + STABLE_S + 1 - Lab.now()) * 1000));
        Lab.record("host edge-a is in touch; clients send");

        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        double until = Lab.now() + 5;
        for (int i = 0; i < 8; i++) {
            int number = i;
            clients.add(Lab.go(() -> book(host, number, until, statuses)));
        }
        Lab.sleep(3500);
        leaving.exit();
        store.remove("servers", leaving.id);
        Lab.record("runner %s has left, %.1f s after its draining was accepted", leaving.id, Lab.now() - acknowledged);
        for (Thread client : clients) client.join(10_000);
        Lab.record("answers to the bookings: %s", statuses);
        if (statuses.getOrDefault("200", 0) < 75) throw new IllegalStateException("the clients were not served");
        for (Lab.Runner runner : desk) {
            List<Double> at = arrivals.getOrDefault(runner.id, List.of());
            Lab.record("runner %s (%s) got %d requests", runner.id, runner == leaving ? "draining" : "ready", at.size());
        }
        List<Double> late = new ArrayList<>();
        for (double at : arrivals.getOrDefault(leaving.id, List.of())) {
            if (at > acknowledged + DRAIN_S) late.add(at);
        }
        if (!late.isEmpty()) {
            Lab.record("%d requests reached it more than drain_ms (%.1f s) after that acknowledgement, the first %.1f s and the last %.1f s after it",
                late.size(), DRAIN_S, late.get(0) - acknowledged, late.get(late.size() - 1) - acknowledged);
        }
        return !late.isEmpty();
    }

    private static void book(Lab.Host host, int number, double until, Map<String, Integer> statuses) {
        for (int i = 0; Lab.now() < until; i++) {
            String status;
            try (Socket socket = host.connect()) {
                socket.setSoTimeout(5000);
                Lab.Message answer = Lab.call(socket, new BufferedInputStream(socket.getInputStream()),
                    Callers.booking("b" + number + "-" + i, 6), "6 axes".getBytes());
                status = answer == null ? "closed" : "" + answer.status();
                if (answer != null && answer.status() != 200) status += " " + new String(answer.body).trim();
            } catch (IOException e) {
                status = e.getClass().getSimpleName();
            }
            statuses.merge(status, 1, Integer::sum);
            Lab.sleep(40);
        }
    }
}
