package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.required
import medlarroute.lab.ScenarioChecker
import java.nio.file.Path

/**
 * Checks the start logs and answer records of a fault scenario for violations of the invariants.
 *
 * Not named `check`: kotlinx-cli recognizes the name of a top-level command anywhere in the arguments, so that
 * `rules check` would no longer work.
 */
internal class VerifyCommand(cli: Cli) :
    ExecutableCommand("verify", "Checks start logs against the answers of a load run", cli) {
    private val starts by option(
        ArgType.String,
        "starts",
        description = "start log; repeat for each",
    ).required().multiple()
    private val records by option(
        ArgType.String,
        "record",
        description = "record; repeat for each",
    ).required().multiple()
    private val drainedHome by option(
        ArgType.String,
        "drained-home",
        description = "entry instance that was drained, whose answers must be replayed",
    )

    override fun run(): Int {
        val report = ScenarioChecker.read(starts.map { Path.of(it) }, records.map { Path.of(it) }, drainedHome).check()
        cli.printLine(report.toString())
        return if (report.failed == 0) ExitCode.SUCCESS else ExitCode.NEGATIVE
    }
}
