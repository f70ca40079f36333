package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command of the binary. */
@OptIn(ExperimentalCli::class)
internal abstract class CliCommand(name: String, description: String) : Subcommand(name, description) {
    /** Gets the command and those below it ready for parsing. */
    open fun prepare(usage: UsageExit) {
        usage.replaceIn(this)
    }
}

/** A command that does something itself. */
internal abstract class Command(name: String, description: String, protected val cli: Cli) :
    CliCommand(name, description) {
    /** Does the work and returns an [ExitCode]. */
    protected abstract fun run(): Int

    final override fun execute() {
        cli.execute { run() }
    }
}

/** A command that consists of other commands. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(name: String, description: String, val commands: List<CliCommand>) :
    CliCommand(name, description) {
    init {
        subcommands(*commands.toTypedArray())
    }

    override fun prepare(usage: UsageExit) {
        super.prepare(usage)
        commands.forEach { it.prepare(usage) }
    }

    final override fun execute(): Unit = Unit
}

/** A command that reads its arguments itself; [body] returns an [ExitCode]. */
internal class ExternalCommand(name: String, description: String, private val body: (List<String>) -> Int) :
    CliCommand(name, description) {
    /** Runs the command with the arguments after its name. */
    fun run(args: List<String>): Int = body(args)

    override fun execute(): Unit = Unit
}

/** Option for the base URL of an endpoint. */
internal fun CliCommand.urlOption(description: String, default: String) =
    option(ArgType.String, "url", description = "$description (default $default)")
