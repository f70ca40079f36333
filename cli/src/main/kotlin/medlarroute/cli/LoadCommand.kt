package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import medlarroute.lab.LoadGenerator
import medlarroute.lab.LoadOutcome
import medlarroute.lab.LoadSettings
import java.nio.file.Path

/** Generates load: sends jobs to entry instances at planned times and reports their outcomes and latencies. */
internal class LoadCommand(cli: Cli) :
    ExecutableCommand("load", "Sends jobs to entry instances and reports latencies", cli) {
    private val entries by option(
        ArgType.String,
        "entries",
        description = "callers' ports as host:port, separated by commas",
    ).required()
    private val record by option(ArgType.String, "record", description = "file that gets the answers").required()
    private val jobs by option(ArgType.Int, "jobs", description = "number of jobs").default(DEFAULTS.jobs)
    private val rate by option(ArgType.Double, "rate", description = "jobs a second").default(DEFAULTS.jobsPerSecond)
    private val minTasks by option(ArgType.Int, "min-tasks", description = "tasks of a job").default(DEFAULTS.minTasks)
    private val maxTasks by option(ArgType.Int, "max-tasks", description = "tasks of a job").default(DEFAULTS.maxTasks)
    private val minTaskMs by option(ArgType.Int, "min-task-ms", description = "run time").default(DEFAULTS.minTaskMs)
    private val maxTaskMs by option(ArgType.Int, "max-task-ms", description = "run time").default(DEFAULTS.maxTaskMs)
    private val longShare by option(
        ArgType.Double,
        "long-share",
        description = "share of tasks that take --long-task-ms",
    ).default(DEFAULTS.longTaskShare)
    private val longTaskMs by option(ArgType.Int, "long-task-ms", description = "run time").default(DEFAULTS.longTaskMs)
    private val deadlineMs by option(
        ArgType.Int,
        "deadline-ms",
        description = "deadline of a job",
    ).default(DEFAULTS.deadlineMs.toInt())
    private val resubmitShare by option(
        ArgType.Double,
        "resubmit-share",
        description = "share of jobs sent a second time to another entry instance",
    ).default(DEFAULTS.resubmitShare)
    private val cancelShare by option(
        ArgType.Double,
        "cancel-share",
        description = "share of jobs that are cancelled",
    ).default(DEFAULTS.cancelShare)
    private val replays by option(
        ArgType.Int,
        "replays",
        description = "complete jobs that are sent again at the end",
    ).default(DEFAULTS.replays)
    private val seed by option(ArgType.Int, "seed", description = "seed of the plan").default(DEFAULTS.seed.toInt())

    override fun run(): Int {
        val report = LoadGenerator(settings(), Path.of(record)).use { it.run() }
        cli.printLine(report.toString())
        val isBad = report.count(LoadOutcome.WRONG) + report.count(LoadOutcome.MISSING) > 0
        return if (isBad) ExitCode.NEGATIVE else ExitCode.SUCCESS
    }

    private fun settings(): LoadSettings =
        try {
            DEFAULTS.copy(
                entries = entries.split(','),
                jobs = jobs,
                jobsPerSecond = rate,
                minTasks = minTasks,
                maxTasks = maxTasks,
                minTaskMs = minTaskMs,
                maxTaskMs = maxTaskMs,
                longTaskShare = longShare,
                longTaskMs = longTaskMs,
                deadlineMs = deadlineMs.toLong(),
                resubmitShare = resubmitShare,
                cancelShare = cancelShare,
                replays = replays,
                seed = seed.toLong(),
            )
        } catch (e: IllegalArgumentException) {
            throw CliFailure(ExitCode.BAD_INPUT, e.message.orEmpty(), e)
        }

    private companion object {
        val DEFAULTS = LoadSettings(listOf("127.0.0.1:8080"))
    }
}
