import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Clients send bodies of the largest size that the configuration allows. With trouble they come at
 * once, without it one after the other. Meanwhile callers wait for the first event of a stream, on
 * connections that carried a booking before.
 */
final class LargeBodies {
    /** The clients of a zone (14 in the site file) times the burst of the site file (1.7). */
    static final int UPLOADS = 24;
    static final int LARGEST_BODY = 4_194_304;
    static final int CALLERS = 12;

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
        Lab.Host host = new Lab.Host(directory, "edge-a", store);
        host.start();
        host.awaitReady();
        Lab.sleep(4500);
        Lab.record("host edge-a is in touch: it has run for stable_ms and more without disruption");

        AtomicInteger answered = new AtomicInteger();
        List<String> unanswered = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Lab.go(() -> Callers.call(host, number, answered, unanswered, reached)));
        }
        Lab.sleep(900);
        Lab.record("%d bookings were answered, %d streams have reached a runner on the same connections", answered.get(), reached.size());
        if (reached.size() < CALLERS) throw new IllegalStateException("the streams have not reached their runners");

        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        List<Thread> uploads = new ArrayList<>();
        Lab.record("%d clients send a body of %d bytes each, %s", UPLOADS, LARGEST_BODY,
            trouble ? "at once" : "one after the other");
        for (int i = 0; i < UPLOADS; i++) {
            int number = i;
            Thread upload = Lab.go(() -> outcomes.merge(upload(host, number), 1, Integer::sum));
            if (trouble) uploads.add(upload);
            else upload.join();
        }
        for (Thread upload : uploads) upload.join(20_000);
        for (Thread caller : callers) caller.join(12_000);
        Lab.sleep(500);

        Lab.record("outcomes of the large requests: %s", outcomes);
        Lab.record("%d streams reached a runner, and their kept connections ended without an answer: %s", unanswered.size(), unanswered);
        Lab.record("the process of host edge-a %s", host.isAlive()
            ? "runs, peak " + host.peakMegabytes() + " MB"
            : "has ended by itself with status " + host.exitStatus() + ": " + host.logTail(1));
        return unanswered.size() > 3;
    }

    static String upload(Lab.Host host, int number) {
        try (Socket socket = host.connect()) {
            socket.setSoTimeout(10_000);
            Lab.Message answer = Lab.call(socket, new BufferedInputStream(socket.getInputStream()),
                Callers.booking("u" + number, LARGEST_BODY), new byte[LARGEST_BODY]);
            return answer == null ? "closed" : "" + answer.status();
        } catch (IOException e) {
            return e.getClass().getSimpleName();
        }
    }
}
