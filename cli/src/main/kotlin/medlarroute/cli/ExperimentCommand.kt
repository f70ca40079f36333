package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.vararg
import medlarroute.lab.ExperimentArguments
import medlarroute.lab.runExperiment
import java.io.File
import java.io.IOException

/** Simulates workloads under a virtual clock and compares the engine with baseline policies. */
internal class ExperimentCommand(cli: Cli) :
    ExecutableCommand("experiment", "Compares the engine with baselines under a virtual clock", cli) {
    private val policies by option(
        ArgType.String,
        "policies",
        description = "names, separated by commas; without it, the engine and all baselines",
    ).default("")
    private val out by option(ArgType.String, "out", description = "directory for the report").default(DEFAULT_OUT)
    private val threads by option(ArgType.Int, "threads", description = "experiments at the same time").default(2)
    private val workloads by argument(ArgType.String, description = "workload files or directories").vararg()

    override fun run(): Int {
        val names = policies.split(',').filter { it.isNotEmpty() }
        val table = try {
            runExperiment(ExperimentArguments(workloads.map(::File), names, File(out), threads))
        } catch (e: IllegalArgumentException) {
            throw CliFailure(ExitCode.BAD_INPUT, e.message.orEmpty(), e)
        } catch (e: IOException) {
            throw CliFailure(ExitCode.BAD_INPUT, "a file can't be used: ${e.message}", e)
        }
        cli.printLine(table)
        return ExitCode.SUCCESS
    }

    private companion object {
        const val DEFAULT_OUT = "target/experiment"
    }
}
