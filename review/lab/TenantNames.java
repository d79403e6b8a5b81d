import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A new version of the configuration adds two tenants. With trouble their names hold letters beyond
 * ASCII. The runner takes the tenant's name from the header and answers with that tenant's stock.
 */
final class TenantNames {
    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab.main(Path.of(args[0], "record.txt"), () -> play(trouble));
    }

    static boolean play(boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        String routes = Lab.route("r3", "/stock/", "idempotent", "desk", 1200, 150, 2, "");
        String first = "{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1}";
        store.put("config", "main", Lab.config(7, routes, first));
        Map<String, String> seen = new ConcurrentHashMap<>();
        Lab.Runner runner = new Lab.Runner("i-0", "desk", 6, (self, socket, in, request) -> {
            Lab.body(request, in, false);
            seen.put(request.header("Burdockspread-Attempt-Id"), request.header("Burdockspread-Tenant"));
            self.answer(socket, request, ("stock of " + request.header("Burdockspread-Tenant")).getBytes("UTF-8"));
        });
        store.put("servers", runner.id, runner.entry("ready", 1));
        Path directory = Files.createTempDirectory("case");
        Lab.Host host = new Lab.Host(directory, "edge-a", store);
        host.start();
        host.awaitReady();
        Lab.sleep(4000);

        Map<String, String> owners = new LinkedHashMap<>();
        owners.put("key-1", "huka270");
        owners.put("key-2", trouble ? "\u010dopi\u010d" : "copic");
        owners.put("key-3", trouble ? "\u0161opi\u0161" : "sopis");
        store.put("config", "main", Lab.config(9, routes, first
            + ",{\"name\":" + Lab.quote(owners.get("key-2")) + ",\"api_keys\":[\"key-2\"],\"priority\":1}"
            + ",{\"name\":" + Lab.quote(owners.get("key-3")) + ",\"api_keys\":[\"key-3\"],\"priority\":1}"));
        Lab.record("the store has accepted version 9, which adds the tenants %s and %s", owners.get("key-2"), owners.get("key-3"));
        Lab.sleep(4000);

        Map<String, String> received = new LinkedHashMap<>();
        for (Map.Entry<String, String> owner : owners.entrySet()) {
            for (int i = 0; i < 3; i++) {
                String id = owner.getKey() + "-" + i;
                try (Socket socket = host.connect()) {
                    socket.setSoTimeout(3000);
                    Lab.Message answer = Lab.call(socket, new BufferedInputStream(socket.getInputStream()),
                        "GET /stock/2f HTTP/1.1\r\nHost: desk.example\r\nBurdockspread-Attempt-Id: " + id
                            + "\r\nBurdockspread-Deadline-Ms: 2500\r\nBurdockspread-Key: " + owner.getKey() + "\r\n\r\n", new byte[0]);
                    String text = answer == null ? "closed" : answer.status() + " " + new String(answer.body, "UTF-8");
                    Lab.record("the client with the key of %s gets: %s; the runner had got the tenant %s", owner.getValue(), text.trim(), seen.get(id));
                }
                if (seen.containsKey(id)) received.put(owner.getValue(), seen.get(id));
            }
        }
        if (received.size() < owners.size()) throw new IllegalStateException("not all clients were served");
        // Whatever the encoding of the header: two tenants are not the same one.
        Set<String> different = new HashSet<>(received.values());
        if (different.size() < received.size()) Lab.record("the runner cannot tell the requests of different tenants apart: %s", received);
        return different.size() < received.size();
    }
}
