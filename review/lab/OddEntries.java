import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Another writer puts entries into the kind of the runners whose service is a list of numbers. With
 * trouble each has 300 KB, without it a few bytes. Callers wait for the first event of a stream
 * meanwhile, on connections that carried a booking before.
 */
final class OddEntries {
    static final int ENTRIES = 12;
    static final int ENTRY_BYTES = 300_000;
    static final int HOSTS = 3;
    static final int CALLERS_A_HOST = 6;

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.main(Path.of(args[0], "record.txt"), () -> play(trouble));
    }

    static boolean play(boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        store.put("config", "main", Lab.config(7,
            Lab.route("r1", "/brief/", "streaming", "llm", 25000, 4500, 5, ",\"stream_resume\":true,\"target_itl_ms\":700") + ","
                + Lab.route("r2", "/order/", "non_idempotent", "desk", 1200, 150, 1, ""),
            "{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1}"));
        Set<String> reached = ConcurrentHashMap.newKeySet();
        Callers.runners(store, reached);
        Path directory = Files.createTempDirectory("case");
        List<Lab.Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Lab.Host host = new Lab.Host(directory, "edge-" + i, store, hosts.toArray(new Lab.Host[0]));
            host.start();
            hosts.add(host);
        }
        for (Lab.Host host : hosts) host.awaitReady();
        Lab.sleep(6000);
        Lab.record("the hosts are in touch: they have run for stable_ms and more without disruption");

        AtomicInteger answered = new AtomicInteger();
        Map<String, List<String>> unanswered = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (Lab.Host host : hosts) {
            unanswered.put(host.name, new CopyOnWriteArrayList<>());
            for (int i = 0; i < CALLERS_A_HOST; i++) {
                int number = callers.size();
                callers.add(Lab.go(() -> Callers.call(host, number, answered, unanswered.get(host.name), reached)));
            }
        }
        Lab.sleep(800);
        Lab.record("%d requests were answered so far, %d streams have reached a runner", answered.get(), reached.size());
        if (reached.size() < callers.size()) throw new IllegalStateException("the streams have not reached their runners");

        StringBuilder spec = new StringBuilder("{\"service\":[0");
        while (trouble && spec.length() < ENTRY_BYTES) spec.append(",0");
        spec.append("]}");
        Lab.record("another writer puts %d entries of %d bytes into the kind servers", ENTRIES, spec.length());
        for (int i = 0; i < ENTRIES; i++) {
            store.put("servers", "x-" + i, spec.toString());
            Lab.sleep(15);
        }
        for (Thread caller : callers) caller.join(12_000);
        Lab.sleep(500);

        Lab.record("%d requests were answered", answered.get());
        boolean broken = false;
        for (Lab.Host host : hosts) {
            List<String> lost = unanswered.get(host.name);
            Lab.record("the process of host %s %s; %d streams reached a runner, and their kept connections ended without an answer: %s",
                host.name, host.isAlive() ? "runs, peak " + host.peakMegabytes() + " MB" : "has ended by itself with status "
                    + host.exitStatus() + " (" + host.logTail(1) + ")", lost.size(), lost);
            broken |= lost.size() > 3;
        }
        return broken;
    }
}
