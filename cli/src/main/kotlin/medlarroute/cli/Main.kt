package medlarroute.cli

import kotlin.system.exitProcess

/**
 * Returns all commands of the binary, in the order of the help text. A command of another module that parses its own
 * arguments can be added as an [ExternalCommand]; there is none at present.
 */
internal fun commands(cli: Cli): List<CliCommand> =
    listOf(
        ServeCommand(cli),
        JobCommands(cli),
        RulesCommands(cli),
        SettingsCommands(cli),
        ReportCommands(cli),
        TryCommand(cli),
        StandinCommands(cli),
        LoadCommand(cli),
        VerifyCommand(cli),
        ExperimentCommand(cli),
        VersionCommand(cli),
    )

/** Runs one command and exits with its [ExitCode]. */
public fun main(args: Array<String>) {
    val code = Cli(System.out, System.err, ::commands).run(args.toList())
    System.out.flush()
    exitProcess(code)
}
