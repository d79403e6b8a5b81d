import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A new version of the configuration adds two tenants whose names have letters beyond ASCII. */
final class TenantName extends Case {
    public static void main(String[] args) throws Exception {
        new TenantName().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        return new Deployment(temporary, record, 3, 3, 3);
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        String first = hasTrouble ? "Salon \u0160" : "Salon S";
        String second = hasTrouble ? "Salon \u017d" : "Salon Z";
        int before = deployment.traffic(1, 3);
        String config = Deployment.config(8).replace("\"tenants\":[", "\"tenants\":["
            + tenant(first, "key-2") + "," + tenant(second, "key-3") + ",");
        deployment.store.write("config", "main", config);
        record.line("configuration 8 is acknowledged, with the tenants " + first + " and " + second);
        Thread.sleep(4_000);
        int alike = 0;
        int pairs = 0;
        for (int i = 0; i < 30; i++) {
            Host host = deployment.hosts.get(i % deployment.hosts.size());
            List<String> told = new ArrayList<>();
            for (String key : List.of("key-2", "key-3")) {
                String id = String.format("%s-%012x", key, i);
                Client.Answer answer = Client.send(host.ip, "POST", "/book/1", id, 2_500, key);
                record.line("sent " + id + " with " + key + " to " + host.name + ", answered "
                    + answer.status() + " " + answer.body().trim());
                deployment.runners.forEach(it -> {
                    if (it.ran.containsKey(id)) told.add(it.ran.get(id));
                });
            }
            if (told.size() < 2) continue;
            pairs++;
            if (told.get(0).equals(told.get(1))) alike++;
        }
        record.line("of " + pairs + " pairs of requests of two tenants, runners were told the same tenant in "
            + alike);
        if (before < 90 || pairs < 15) return COULD_NOT_RUN;
        return alike > 0 ? BROKEN : HELD;
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
    }
}
