import java.nio.file.Path;

/** A grey runner runs bookings and answers some of them with its own 503. */
final class OwnRefusal extends Case {
    private static final int RUNNERS = 7;
    private static final double FAILING = 0.45;
    private static final double FAILS_FROM = 3;
    private static final double FAILS_FOR = 6.5;

    public static void main(String[] args) throws Exception {
        new OwnRefusal().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        return new Deployment(temporary, record, 3, 1, RUNNERS);
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        Runner grey = deployment.runners.get(0);
        double begin = record.seconds();
        int sent = 0;
        int served = 0;
        int refusedButRan = 0;
        int bookedTwice = 0;
        while (record.seconds() < begin + 15) {
            double at = record.seconds() - begin;
            boolean fails = hasTrouble && at >= FAILS_FROM && at < FAILS_FROM + FAILS_FOR;
            if (fails != grey.failing > 0) {
                grey.failing = fails ? FAILING : 0;
                record.line("runner " + grey.id + " fails " + grey.failing + " of its requests");
            }
            String first = String.format("%016x", 2 * sent);
            Client.Answer answer = book(deployment, record, sent++, first);
            boolean isPromise = answer.status() == 503 || answer.status() == 429;
            if (isPromise && hasRun(deployment, first)) refusedButRan++;
            if (isPromise) {
                // The client believes the promise and tries once more, with a new id, at another host.
                String second = String.format("%016x", 2 * sent - 1);
                answer = book(deployment, record, sent, second);
                if (hasRun(deployment, first) && hasRun(deployment, second)) {
                    bookedTwice++;
                    record.line("BOOKED TWICE, as " + first + " and " + second);
                }
            }
            if (answer.status() == 200) served++;
            Thread.sleep(20);
        }
        record.line("bookings " + sent + ", served " + served + ", answered 503 or 429 although they had run "
            + refusedButRan + ", booked twice " + bookedTwice);
        if (served < sent / 2) return COULD_NOT_RUN;
        return refusedButRan > 0 ? BROKEN : HELD;
    }

    private static Client.Answer book(Deployment deployment, Record record, int turn, String id) {
        Host host = deployment.hosts.get(turn % deployment.hosts.size());
        Client.Answer answer = Client.send(host.ip, "POST", "/book/1", id, 2_500);
        record.line("sent " + id + " to " + host.name + ", answered " + answer.status() + " "
            + answer.body().trim());
        return answer;
    }

    private static boolean hasRun(Deployment deployment, String id) {
        return deployment.runners.stream().anyMatch(it -> it.ran.containsKey(id));
    }
}
