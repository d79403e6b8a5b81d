import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store with a configuration, order desks, some hosts. */
final class Deployment implements AutoCloseable {
    final Record record;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();

    Deployment(Path folder, Record record, int hostCount, int zones, int runnerCount) throws Exception {
        this(folder, record, hostCount, zones, runnerCount, Host.SSWC, 0);
    }

    /** Hosts reach the store over a link of [megabitsPerSecond] each, or directly if it is 0. */
    Deployment(Path folder, Record record, int hostCount, int zones, int runnerCount,
        Host.Bounds bounds, double megabitsPerSecond) throws Exception {
        this.record = record;
        store = new Store("127.0.0.1", 0);
        store.write("config", "main", config(7));
        for (int i = 1; i <= runnerCount; i++) {
            runners.add(new Runner("i-desk" + i, "order-desk", "zone-" + i % zones, store, record));
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) seeds.add("127.0.0." + (11 + i));
        for (int i = 0; i < hostCount; i++) {
            int port = store.port();
            if (megabitsPerSecond > 0) port = new Link(port, megabitsPerSecond).port();
            hosts.add(new Host("edge-" + (i + 1), seeds.get(i), "zone-" + i % zones, port,
                seeds.subList(0, Math.min(3, hostCount)), bounds, folder, record));
        }
    }

    static String config(int version) {
        return config(version, 0);
    }

    /** Returns a configuration with [more] routes beside the first ones. */
    static String config(int version, int more) {
        StringBuilder added = new StringBuilder();
        for (int i = 0; i < more; i++) {
            added.append(",{\"name\":\"r-a").append(100_000 + i).append("\",\"host\":\"shop.example\",")
                .append("\"path_prefix\":\"/a").append(100_000 + i).append("/\",\"kind\":\"streaming\",")
                .append("\"timeout_ms\":25000,\"target_latency_ms\":4500,\"priority\":1,")
                .append("\"service\":\"order-desk\",\"max_attempts\":5,\"anonymous\":false,")
                .append("\"session_affinity\":true,\"stream_resume\":true,\"target_itl_ms\":700}");
        }
        return "{\"version\":" + version + ",\"routes\":["
            + route("r-book", "/book/", "non_idempotent", 1) + "," + route("r-stock", "/stock/", "idempotent", 2) + added
            + "],\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_connections\":200,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"" + prefix
            + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":2500,\"target_latency_ms\":193,\"priority\":2,"
            + "\"service\":\"order-desk\",\"max_attempts\":" + attempts + ",\"anonymous\":false}";
    }

    /** Waits until all hosts are ready; returns false if that takes too long. */
    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (hosts.stream().allMatch(Host::isReady)) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends requests for some seconds; returns how many percent were served. */
    int traffic(int firstId, int seconds) throws InterruptedException {
        double end = record.seconds() + seconds;
        int sent = 0;
        int served = 0;
        while (record.seconds() < end) {
            Host host = hosts.get(sent % hosts.size());
            boolean isBooking = sent % 2 == 0;
            String id = String.format("%016x", firstId + sent++);
            Client.Answer answer = Client.send(host.ip, isBooking ? "POST" : "GET",
                isBooking ? "/book/1" : "/stock/1", id, 2_500);
            record.line("sent " + id + " to " + host.name + ", answered " + answer.status() + " "
                + answer.body().trim());
            if (answer.status() == 200) served++;
            Thread.sleep(100);
        }
        return 100 * served / sent;
    }

    @Override
    public void close() {
        hosts.forEach(Host::stop);
    }
}
