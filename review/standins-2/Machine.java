import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A machine of the system: starts the program of the deploy file as a process, and sends signals to it. */
final class Machine {
    final String name;
    final String ip;
    final String zone;
    final int frontend;
    final int ready;
    final int control;
    private final Path directory;
    private final Store store;
    private final Recorder record;
    private List<Machine> seeds = List.of();
    private Process process;

    Machine(int number, String zone, Path directory, Store store, Recorder record) throws IOException {
        name = "edge-" + zone + "-" + number;
        ip = "127.0.0." + (10 + number);
        this.zone = zone;
        this.directory = directory;
        this.store = store;
        this.record = record;
        int[] ports = freePorts(ip);
        frontend = ports[0];
        ready = ports[1];
        control = ports[2];
    }

    private static int[] freePorts(String ip) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        try (ServerSocket a = new ServerSocket(0, 1, address); ServerSocket b = new ServerSocket(0, 1, address);
            ServerSocket c = new ServerSocket(0, 1, address)) {
            return new int[] {a.getLocalPort(), b.getLocalPort(), c.getLocalPort()};
        }
    }

    void seeds(List<Machine> machines) {
        seeds = machines;
    }

    /** Starts the process with the settings that the platform would pass, filled into the project's template. */
    void start() throws IOException {
        String zones = "\"hall\":\"r\",\"room\":\"r\",\"bay\":\"r\",\"loft\":\"r\"";
        StringBuilder seedList = new StringBuilder();
        for (Machine seed : seeds) seedList.append(seedList.isEmpty() ? "" : ",").append("\"" + seed.ip + ":" + seed.control + "\"");
        String fields = "{\"nodeName\":\"" + name + "\",\"role\":\"dispatcher\",\"machineClass\":\"edge\",\"ip\":\"" + ip
            + "\",\"zone\":\"" + zone + "\",\"region\":\"r\",\"zones\":{" + zones + "},\"seeds\":[" + seedList + "],"
            + "\"listen\":{\"frontend\":\"" + ip + ":" + frontend + "\",\"ready\":\"" + ip + ":" + ready + "\",\"control\":\""
            + ip + ":" + control + "\"},\"bootstrap\":true,\"heartbeatMs\":1500,\"limits\":{\"cpuShare\":0.75,\"cores\":1,"
            + "\"memoryMb\":430,\"maxFds\":4100},\"bounds\":{\"contactMs\":3000,\"graceS\":6,\"maxHoldMs\":1000,"
            + "\"stopGraceMs\":50,\"retransmitMs\":1300,\"recoveryS\":12,\"configApplyMs\":2000},"
            + "\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"table\"}}";
        String template = Files.readString(Path.of("deploy/settings.json.template"));
        Path settings = directory.resolve(name + ".json");
        Files.writeString(settings, template.replace("{{.|json}}", fields));
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) command.addAll(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("MEDLARROUTE_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".out").toFile()));
        process = builder.start();
        record.line("machine " + name + " starts");
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    void signal(String name) throws IOException {
        if (!isUp()) return;
        record.line("machine " + this.name + " gets SIG" + name);
        try {
            // The kill of the shell is always there, a program of that name may not be.
            int status = new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            if (status != 0) throw new IOException("the signal " + name + " could not be sent");
            if (name.equals("KILL")) process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends the process if it is still there. */
    void end() {
        if (process != null) process.destroyForcibly();
    }

    /** Low digits of the fencing tokens of its process, which tell the runners' caller. */
    long tokenDigits() {
        return Integer.parseInt(ip.substring(8));
    }

    String logs() throws IOException {
        return Files.readString(directory.resolve(name + ".out"));
    }
}
