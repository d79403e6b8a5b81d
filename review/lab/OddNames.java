import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Another writer has put 60 entries into the kind of the runners. With trouble their names hold an
 * ampersand, without it a hyphen. The store forgets its history; seconds later a runner reports that
 * it drains, serves on and leaves. At the end, all hosts are killed and start again.
 */
final class OddNames {
    static final int ENTRIES = 60;
    static final int HOSTS = 2;
    static final double DRAIN_S = 2.0;
    static final double RECOVERY_S = 12.0;

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.main(Path.of(args[0], "record.txt"), () -> play(trouble));
    }

    static boolean play(boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        // The site files page their store at 50 entries.
        store.pageSize = 50;
        store.put("config", "main", Lab.config(7,
            Lab.route("r2", "/order/", "non_idempotent", "desk", 1200, 150, 1, ""),
            "{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1}"));
        Map<String, List<Double>> arrivals = new ConcurrentHashMap<>();
        List<Lab.Runner> desk = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Lab.Runner runner = new Lab.Runner("i-0" + i, "desk", 6, (self, socket, in, request) -> {
                Lab.body(request, in, false);
                arrivals.computeIfAbsent(self.id, id -> new CopyOnWriteArrayList<>()).add(Lab.now());
                Lab.sleep(150);
                self.answer(socket, request, "booked".getBytes());
            });
            desk.add(runner);
            store.put("servers", runner.id, runner.entry("ready", 1));
        }
        Path directory = Files.createTempDirectory("case");
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Lab.Host host = new Lab.Host(directory, "edge-" + i, store, hosts.toArray(new Lab.Host[0]));
            host.start();
            hosts.add(host);
        }
        for (Lab.Host host : hosts) host.awaitReady();
        Lab.sleep(4000);
        String name = trouble ? "r&d-%02d" : "r-d-%02d";
        Lab.record("another writer puts %d entries named %s and so on, of a service that no configuration names", ENTRIES, String.format(name, 0));
        for (int i = 0; i < ENTRIES; i++) {
            store.put("servers", String.format(name, i), "{\"service\":\"lab\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\",\"state\":\"trial\",\"slots\":1,\"sequence\":1}");
        }
        Lab.sleep(3000);
        Map<String, Integer> before = clients(hosts, "a", 1);
        Lab.record("answers to bookings: %s", before);
        if (before.getOrDefault("200", 0) < 20) throw new IllegalStateException("the clients were not served");

        store.compact();
        Lab.record("the store has forgotten its history, and waiting watches were cut");
        Lab.sleep(5000);
        Lab.Runner leaving = desk.get(3);
        store.put("servers", leaving.id, leaving.entry("draining", 2));
        double acknowledged = Lab.now();
        Lab.record("the store, stable for 5 s, has accepted that runner %s is draining", leaving.id);
        Lab.go(() -> {
            Lab.sleep(5000);
            try {
                leaving.exit();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            store.remove("servers", leaving.id);
            Lab.record("runner %s has left, %.1f s after its draining was accepted", leaving.id, Lab.now() - acknowledged);
        });
        Lab.record("answers to bookings while it drains and leaves: %s", clients(hosts, "b", 7));
        List<Double> late = new ArrayList<>();
        for (double at : arrivals.getOrDefault(leaving.id, List.of())) {
            if (at > acknowledged + DRAIN_S) late.add(at);
        }
        Lab.record("%d requests reached runner %s more than drain_ms (%.1f s) after that acknowledgement%s", late.size(), leaving.id, DRAIN_S,
            late.isEmpty() ? "" : String.format(Locale.ROOT, ", the last %.1f s after it", late.get(late.size() - 1) - acknowledged));

        // Not part of the verdict: what the same fault does to hosts that start.
        for (Lab.Host host : hosts) host.kill();
        Lab.sleep(600);
        for (Lab.Host host : hosts) host.start();
        double back = Lab.now();
        Lab.sleep((long) (RECOVERY_S * 1000) + 500);
        for (Lab.Host host : hosts) Lab.record("host %s answers the question whether it is ready with %d, %.1f s after its start",
            host.name, host.ready(), Lab.now() - back);
        Lab.record("answers to bookings then: %s", clients(hosts, "c", 2));
        return !late.isEmpty();
    }

    /** Lets eight clients book for some seconds. */
    private static Map<String, Integer> clients(List<Lab.Host> hosts, String prefix, double seconds) throws InterruptedException {
        Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
        double until = Lab.now() + seconds;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = prefix + i;
            Lab.Host host = hosts.get(i % hosts.size());
            clients.add(Lab.go(() -> {
                for (int n = 0; Lab.now() < until; n++) {
                    outcomes.merge(book(host, id + "-" + n), 1, Integer::sum);
                    Lab.sleep(40);
                }
            }));
        }
        for (Thread client : clients) client.join(10_000);
        return outcomes;
    }

    private static String book(Lab.Host host, String id) {
        try (Socket socket = host.connect()) {
            socket.setSoTimeout(3000);
            Lab.Message answer = Lab.call(socket, new BufferedInputStream(socket.getInputStream()), Callers.booking(id, 6), "6 axes".getBytes());
            if (answer == null) return "closed";
            return answer.status() == 200 ? "200" : answer.status() + " " + new String(answer.body).trim();
        } catch (IOException e) {
            return e.getClass().getSimpleName();
        }
    }
}
