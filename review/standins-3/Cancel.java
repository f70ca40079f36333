import java.nio.file.Path;
import java.util.List;

/**
 * A cancelled job is run after all instances were killed.
 *
 * A client hands a job in, cancels it and gets both answers. All processes are killed and started again. When each has
 * run for longer than contactMs, a copy of the first request arrives, seconds after its answer.
 */
final class Cancel {
    private static final String JOB = "00c0ffee00c0ffee";
    private static final String PATH = "/desk/" + JOB;

    static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]), 4, List.of("bench-hall", "design-room"), 6);
        fleet.configure(7, List.of(Fleet.route("desk", "/desk/")));
        fleet.startAll();
        fleet.awaitReady();
        Fleet.sleep(4_000);
        String body = Fleet.chain(2, 4, 2_000, 400);
        Web.Answer other = fleet.call(fleet.instances.get(0), "POST", "/desk/0000000000000001", body, 1_500, 3_000);
        if (other.status != 200 || !other.body.contains("complete")) fleet.cannotRun("a job before the trouble: " + other);

        Web.Answer[] answers = new Web.Answer[1];
        Thread caller = new Thread(
            () -> answers[0] = fleet.call(fleet.instances.get(0), "POST", PATH, body, 1_500, 3_000));
        caller.start();
        Fleet.sleep(200);
        Web.Answer cancelled = fleet.call(fleet.instances.get(1), "DELETE", PATH, "", 1_500, 3_000);
        long ackMs = fleet.record.nowMs();
        if (cancelled.status / 100 != 2 && cancelled.status != 410) fleet.cannotRun("the cancelling got " + cancelled);
        caller.join();
        if (answers[0].status != 200) fleet.cannotRun("the job got " + answers[0]);
        Fleet.sleep(500);

        if (fleet.hasTrouble) {
            fleet.instances.forEach(Fleet.Instance::kill);
            Fleet.sleep(500);
            for (Fleet.Instance instance : fleet.instances) instance.start();
            fleet.awaitReady();
        }
        fleet.await(20_000, () -> fleet.instances.stream().allMatch(it -> fleet.record.nowMs() - it.startedMs >= 4_000)
            && fleet.record.nowMs() > ackMs + Fleet.CANCEL_MS + 500);
        fleet.record.line("all instances have been running for 4 s; a copy of the job arrives");
        fleet.call(fleet.instances.get(2), "POST", PATH, body, 1_500, 3_000);
        Fleet.sleep(500);
        List<Fleet.Start> late = fleet.startsOf(JOB, ackMs + Fleet.CANCEL_MS);
        boolean isBroken = late.stream().anyMatch(it -> it.atMs - fleet.senderOrNull(it.token).startedMs >= Fleet.CONTACT_MS);
        fleet.finish(isBroken, late.size() + " tasks of the job were started later than cancelMs after its cancelling was "
            + "acknowledged" + (late.isEmpty() ? "" : ", the first " + (late.get(0).atMs - ackMs) + " ms after"));
    }
}
