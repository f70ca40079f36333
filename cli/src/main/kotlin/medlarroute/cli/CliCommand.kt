package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command or command group of the binary. */
@OptIn(ExperimentalCli::class)
internal abstract class CliCommand(name: String, description: String) : Subcommand(name, description) {
    /** Installs [hook] in this command and its subcommands; has to be called before arguments are parsed. */
    open fun installExitHook(hook: ParserExitHook) {
        hook.install(this)
    }
}

/** A command that can be executed, as opposed to a [CommandGroup]. */
internal abstract class ExecutableCommand(name: String, description: String, protected val cli: Cli) :
    CliCommand(name, description) {
    /** Executes the command and returns an [ExitCode]. */
    protected abstract fun run(): Int

    final override fun execute() {
        cli.recordExitCode { run() }
    }
}

/** A command that only has subcommands. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(name: String, description: String, val commands: List<CliCommand>) :
    CliCommand(name, description) {
    init {
        subcommands(*commands.toTypedArray())
    }

    override fun installExitHook(hook: ParserExitHook) {
        super.installExitHook(hook)
        commands.forEach { it.installExitHook(hook) }
    }

    final override fun execute(): Unit = Unit
}

/** A command that parses its own arguments; [body] gets them and returns an [ExitCode]. */
internal class ExternalCommand(name: String, description: String, private val body: (List<String>) -> Int) :
    CliCommand(name, description) {
    /** Runs the command with the arguments that follow its name. */
    fun run(args: List<String>): Int = body(args)

    override fun execute(): Unit = Unit
}

/** Declares the option `--url` for the base URL of an endpoint. */
internal fun CliCommand.urlOption(description: String, default: String) =
    option(ArgType.String, "url", description = "$description (default $default)")
