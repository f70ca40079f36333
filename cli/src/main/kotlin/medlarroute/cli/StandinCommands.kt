package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import medlarroute.lab.BackendStandinGroup
import medlarroute.lab.BackendStandinSettings
import medlarroute.lab.BackendSwitches
import medlarroute.lab.PlatformInstances
import medlarroute.lab.PlatformStandin
import medlarroute.lab.PlatformSwitches
import medlarroute.lab.RelayRoute
import medlarroute.lab.StartLog
import medlarroute.lab.TcpRelay
import medlarroute.lab.labJson
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

/** Test doubles of the systems that entry instances use; each runs until the process is terminated. */
internal class StandinCommands(cli: Cli) :
    CommandGroup(
        "standin",
        "Runs test doubles of outside systems",
        listOf(StandinPlatformCommand(cli), StandinBackendCommand(cli), StandinRelayCommand(cli)),
    )

/** Runs the test double of the platform. */
internal class StandinPlatformCommand(cli: Cli) : ExecutableCommand("platform", "Runs a platform stand-in", cli) {
    private val port by option(ArgType.Int, "port", description = "port of the service").required()
    private val adminPort by option(ArgType.Int, "admin-port", description = "port for switches").required()
    private val instances by option(ArgType.String, "instances", description = "JSON file with the list of instances")
    private val listLagMs by option(ArgType.Int, "list-lag-ms", description = "age of the served list").default(0)
    private val seed by option(ArgType.Int, "seed", description = "seed of lost replies").default(1)

    override fun run(): Int {
        val listed = instances?.let { labJson.decodeFromString(PlatformInstances.serializer(), readText(it)) }
        val switches = PlatformSwitches(listLagMs = listLagMs.toLong())
        PlatformStandin(listed?.instances.orEmpty(), port, adminPort, switches, seed.toLong()).start()
        return printAndAwaitTermination("platform stand-in on port $port, admin port $adminPort")
    }
}

/** Runs test doubles of several backend servers that share one admin port. */
internal class StandinBackendCommand(cli: Cli) : ExecutableCommand("backend", "Runs backend stand-ins", cli) {
    private val ids by option(ArgType.String, "ids", description = "names, separated by commas").required()
    private val basePort by option(ArgType.Int, "base-port", description = "port of the first; then in turn").required()
    private val adminPort by option(ArgType.Int, "admin-port", description = "port for switches").required()
    private val startLog by option(
        ArgType.String,
        "start-log",
        description = "file that gets the task starts",
    ).required()
    private val speeds by option(
        ArgType.String,
        "speeds",
        description = "relative speeds, separated by commas, used in turn",
    ).default("1")
    private val slots by option(ArgType.Int, "slots", description = "slots of each").default(SLOTS)
    private val seed by option(ArgType.Int, "seed", description = "seed of stragglers").default(1)

    override fun run(): Int {
        val speedList = speeds.split(',').map {
            it.toDoubleOrNull() ?: throw CliFailure(ExitCode.BAD_INPUT, "--speeds: expected a number, found `$it`")
        }
        val settings = ids.split(',').mapIndexed { index, id ->
            BackendStandinSettings(
                id,
                port = basePort + index,
                slots = slots,
                seed = seed.toLong() + index,
                switches = BackendSwitches(speed = speedList[index % speedList.size]),
            )
        }
        BackendStandinGroup(settings, StartLog(Path.of(startLog)), adminPort).start()
        return printAndAwaitTermination("${settings.size} backend stand-ins from port $basePort, admin port $adminPort")
    }

    private companion object {
        const val SLOTS = 8
    }
}

/** Runs a TCP relay that can isolate failure domains from each other. */
internal class StandinRelayCommand(cli: Cli) :
    ExecutableCommand("relay", "Runs a relay between processes of a scenario", cli) {
    private val routes by option(
        ArgType.String,
        "routes",
        description = "file with one `listenPort targetPort failureDomain` a line",
    ).required()
    private val processes by option(
        ArgType.String,
        "processes",
        description = "file with one `pid failureDomain` a line",
    ).required()
    private val adminPort by option(ArgType.Int, "admin-port", description = "port for network partitions").required()

    override fun run(): Int {
        val parsed = readText(routes).lines().filter { it.isNotBlank() }.map { parseRoute(it.trim().split(' ')) }
        TcpRelay(parsed, Path.of(processes), adminPort)
        return printAndAwaitTermination("relay of ${parsed.size} ports, admin port $adminPort")
    }

    private fun parseRoute(fields: List<String>): RelayRoute {
        val ports = fields.take(2).mapNotNull { it.toIntOrNull() }
        if (ports.size != 2 ||
            fields.size != ROUTE_FIELDS
        ) {
            val expected = "listenPort targetPort failureDomain"
            throw CliFailure(ExitCode.BAD_INPUT, "$routes: expected `$expected`, found $fields")
        }
        return RelayRoute(ports[0], ports[1], fields.last())
    }

    private companion object {
        const val ROUTE_FIELDS = 3
    }
}

/** Prints [line] and blocks until the process is terminated. */
private fun ExecutableCommand.printAndAwaitTermination(line: String): Int {
    println(line)
    CountDownLatch(1).await()
    return ExitCode.SUCCESS
}
