import java.nio.file.Path;
import java.util.List;

/**
 * A job whose route is dropped can't be cancelled.
 *
 * A client has handed in a job of steps that run one after the other. The operator drops the route. The client asks for
 * the cancelling until it gets an answer that acknowledges it.
 */
final class DroppedRoute {
    private static final String JOB = "00c0ffee00c0ffee";
    private static final String PATH = "/desk/" + JOB;
    private static final long ACK_MS = 4_000;

    static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]), 4, List.of("bench-hall", "design-room"), 6);
        List<Object> both = List.of(Fleet.route("desk", "/desk/"), Fleet.route("loft", "/loft/"));
        fleet.configure(7, both);
        fleet.startAll();
        fleet.awaitReady();
        Fleet.sleep(4_000);
        Thread caller = new Thread(
            () -> fleet.call(fleet.instances.get(0), "POST", PATH, Fleet.chain(12, 2, 2_000, 1_000), 14_000, 17_000));
        caller.start();
        Fleet.sleep(500);
        if (fleet.hasTrouble) fleet.configure(12, both.subList(1, 2));
        Fleet.sleep(500);
        long sentMs = fleet.record.nowMs();
        Web.Answer answer = null;
        while (fleet.record.nowMs() < sentMs + ACK_MS) {
            int number = (int) ((fleet.record.nowMs() - sentMs) / 500) % fleet.instances.size();
            answer = fleet.call(fleet.instances.get(number), "DELETE", PATH, "", 1_500, 3_000);
            if (answer.status / 100 == 2 || answer.status == 410) break;
            Fleet.sleep(500);
        }
        long boundMs = sentMs + ACK_MS + Fleet.CANCEL_MS;
        Fleet.sleep(boundMs + 2_500 - fleet.record.nowMs());
        List<Fleet.Start> late = fleet.startsOf(JOB, boundMs);
        fleet.finish(!late.isEmpty(), late.size() + " tasks of the job were started later than ackMs and cancelMs after its "
            + "cancelling was sent; the last answer to it was " + answer);
    }
}
