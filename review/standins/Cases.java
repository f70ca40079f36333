import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** The cases of the review that are scripts. Arguments: the name of the case and the file of its record. */
public final class Cases {
    /** Number of orders that are carried out late: the first ones to stop one run. */
    private static final int LATE_STOPS = 2;

    private static final String[] ZONES = {"north", "south", "east", "west"};

    private Cases() {}

    public static void main(String[] arguments) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        int status = 2;
        try (Lab lab = new Lab(arguments[1])) {
            try {
                status = switch (arguments[0]) {
                    case "late-stop" -> lateStop(lab);
                    case "frozen-owner" -> frozenOwner(lab);
                    case "other-zone" -> otherZone(lab);
                    case "late-copy" -> lateCopy(lab);
                    default -> 2;
                };
            } catch (Exception e) {
                lab.record("the case could not run: " + e);
            }
            lab.record("exit " + status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int verdict(Lab lab, int broken) {
        lab.record(broken > 0 ? "the rule is broken " + broken + " times" : "the rule held");
        return broken > 0 ? 1 : 0;
    }

    /**
     * The owner, which also holds the client's connection, is killed. One runner carries two orders to stop a run out late.
     * The client hands the job in again retransmitMs after its connection broke.
     */
    private static int lateStop(Lab lab) throws Exception {
        String job = "5c0e7a21d94b36f8";
        String body = Lab.job(1, 16, 5_000);
        AtomicReference<String> held = new AtomicReference<>();
        AtomicInteger lateStops = new AtomicInteger();
        lab.start(ZONES, 2, 3, 4_000, (runner, task, run) -> {
            if (!lab.trouble || !task.startsWith(job)) return 0;
            held.compareAndSet(null, runner.id + task);
            boolean isLate = held.get().equals(runner.id + task) && lateStops.get() < LATE_STOPS;
            return isLate && lateStops.incrementAndGet() > 0 ? 3_000 : 0;
        });
        Lab.Instance owner = lab.owner("north");
        if (owner == null) return 2;
        AtomicInteger status = new AtomicInteger(-1);
        lab.async(() -> {
            Lab.Reply reply = lab.submit(owner, job, body, 15_000);
            for (int attempt = 1; reply.status() == 0 && attempt <= 3; attempt++) {
                sleep(Lab.RETRANSMIT_MS);
                Lab.Instance other = lab.instances.stream().filter(instance -> instance != owner).skip(attempt).findFirst().orElseThrow();
                reply = lab.submit(other, job, body, 15_000);
            }
            status.set(reply.status());
        });
        if (!lab.awaitRunning(job, 16, 3_000)) return 2;
        sleep(50);
        if (lab.trouble) {
            lab.signal(owner, "KILL");
            sleep(3_500);
            lab.launch(owner);
        }
        for (int waits = 0; waits < 200 && status.get() < 0; waits++) sleep(100);
        lab.record("orders to runners in all: " + lab.orders.get() + ", carried out late: " + lateStops.get());
        return verdict(lab, lab.countTwice());
    }

    /** The owner freezes for 3.5 s. Meanwhile clients cancel their jobs at another instance, which acknowledges it. */
    private static int frozenOwner(Lab lab) throws Exception {
        lab.start(ZONES, 2, 2, 16_000, (runner, task, run) -> 0);
        Lab.Instance owner = lab.owner("north");
        if (owner == null) return 2;
        List<Lab.Instance> others = lab.instances.stream().filter(instance -> instance != owner).toList();
        List<String> jobs = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            String job = String.format("%016x", 0xc000_0000L + number);
            jobs.add(job);
            Lab.Instance entry = others.get(number);
            lab.async(() -> lab.submit(entry, job, Lab.job(2, 2, 2_500), 14_000));
        }
        for (String job : jobs) if (!lab.awaitRunning(job, 2, 3_000)) return 2;
        sleep(300);
        long frozenAtMs = lab.nowMs();
        if (lab.trouble) lab.signal(owner, "STOP");
        int broken = 0;
        List<Lab.Reply> acks = new ArrayList<>();
        for (int number = 0; number < jobs.size(); number++) {
            sleep(Math.max(0, frozenAtMs + 100 + 60L * number - lab.nowMs()));
            acks.add(lab.cancel(others.get(5), jobs.get(number)));
        }
        sleep(Math.max(0, frozenAtMs + 3_500 - lab.nowMs()));
        if (lab.trouble) lab.signal(owner, "CONT");
        sleep(10_500);
        for (int number = 0; number < jobs.size(); number++) {
            Lab.Reply ack = acks.get(number);
            if (ack.status() / 100 == 2) broken += lab.countUnasked(jobs.get(number), ack.atMs());
        }
        return verdict(lab, broken);
    }

    /** Twenty instances, so that each zone has an owner. A client moves to another zone and cancels its job there. */
    private static int otherZone(Lab lab) throws Exception {
        lab.start(ZONES, 5, 2, 16_000, (runner, task, run) -> 0);
        String job = "7d11c09e55aa03b4";
        Lab.Instance entry = lab.instances.stream().filter(instance -> instance.zone.equals("north") && instance != lab.owner("north")).findFirst().orElseThrow();
        String zone = lab.trouble ? "south" : "north";
        Lab.Instance next = lab.instances.stream()
            .filter(instance -> instance.zone.equals(zone) && instance != lab.owner(zone) && instance != entry).findFirst().orElseThrow();
        for (String name : ZONES) lab.record("owner of " + name + ": " + (lab.owner(name) == null ? null : lab.owner(name).name));
        lab.async(() -> lab.submit(entry, job, Lab.job(3, 2, 2_500), 14_000));
        if (!lab.awaitRunning(job, 2, 3_000)) return 2;
        sleep(300);
        Lab.Reply ack = lab.cancel(next, job);
        sleep(9_000);
        if (ack.status() / 100 != 2) return 2;
        return verdict(lab, lab.countUnasked(job, ack.atMs()));
    }

    /** A copy of the client's request arrives seconds after the job was cancelled and its request was answered. */
    private static int lateCopy(Lab lab) throws Exception {
        lab.start(ZONES, 2, 2, 16_000, (runner, task, run) -> 0);
        String job = "2b9f60c1e8d7a345";
        String body = Lab.job(1, 2, 3_000);
        AtomicInteger status = new AtomicInteger(-1);
        lab.async(() -> status.set(lab.submit(lab.instances.get(0), job, body, 14_000).status()));
        if (!lab.awaitRunning(job, 2, 3_000)) return 2;
        sleep(300);
        Lab.Reply ack = lab.cancel(lab.instances.get(3), job);
        sleep(4_000);
        if (ack.status() / 100 != 2 || status.get() != 200) return 2;
        if (lab.trouble) lab.submit(lab.instances.get(5), job, body, 14_000);
        sleep(1_000);
        return verdict(lab, lab.countUnasked(job, ack.atMs()));
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
