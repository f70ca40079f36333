package medlarroute.cli

import kotlinx.cli.ArgParser
import medlarroute.core.Finding
import java.io.PrintStream

/** Exit codes of all commands. */
internal object ExitCode {
    const val SUCCESS = 0

    /** The command worked and its outcome is negative: a job failed, two files differ, a write lost a race. */
    const val NEGATIVE = 1

    /** Arguments, settings, rules or a job can't be used. */
    const val BAD_INPUT = 2

    /** The service can't be reached, or its reply was lost. */
    const val NOT_REACHABLE = 3
}

/** Ends a command early with a [code] and a [message] for standard error. */
internal class CliFailure(val code: Int, override val message: String, cause: Throwable? = null) :
    RuntimeException(message, cause)

/** Where commands print, and how arguments find their command. */
internal class Cli(
    private val out: PrintStream,
    private val err: PrintStream,
    private val commands: (Cli) -> List<CliCommand>,
) {
    /** Exit code of the command that ran; null if none did. */
    private var code: Int? = null

    /** Prints a result. */
    fun print(text: String) {
        out.print(text)
    }

    /** Prints a line of a result. */
    fun printLine(text: String) {
        out.println(text)
    }

    /** Prints a note that is not part of the result. */
    fun note(text: String) {
        err.println(text)
    }

    /** Runs the command that [args] name and returns its exit code. */
    fun run(args: List<String>): Int {
        val all = commands(this)
        val external = all.filterIsInstance<ExternalCommand>().firstOrNull { it.name == args.firstOrNull() }
        if (external != null) return complete { external.run(args.drop(1)) }
        return complete { parse(all, args) }
    }

    /** Runs the body of a command and keeps its exit code. */
    fun execute(body: () -> Int) {
        code = body()
    }

    private fun parse(all: List<CliCommand>, args: List<String>): Int {
        val parser = ArgParser("medlarroute")
        val usage = UsageExit(parser)
        parser.subcommands(*all.toTypedArray())
        all.forEach { it.prepare(usage) }
        val (command, rest) = find(all, args)
        val isBare = rest.isEmpty() && command !is Command
        try {
            (command ?: parser).parse(if (isBare) arrayOf("--help") else rest.toTypedArray())
            command?.execute()
        } catch (e: UsageExit.Ended) {
            if (e.isHelp) printLine(e.text) else note(e.text)
            return if (e.isHelp && !isBare) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        }
        return code ?: throw CliFailure(ExitCode.BAD_INPUT, "no command given; see medlarroute ${args.first()} --help")
    }

    /**
     * The innermost command that [args] begin with, and the arguments after it. kotlinx-cli would read options after a
     * nested command as options of the outer one, so that `rules apply --help` would show the help of `rules`.
     */
    private fun find(commands: List<CliCommand>, args: List<String>): Pair<CliCommand?, List<String>> {
        val command = commands.firstOrNull { it.name == args.firstOrNull() } ?: return null to args
        val rest = args.drop(1)
        if (command !is CommandGroup) return command to rest
        val (inner, innerRest) = find(command.commands, rest)
        return if (inner == null) command to rest else inner to innerRest
    }

    private fun complete(body: () -> Int): Int =
        try {
            body()
        } catch (e: CliFailure) {
            note(e.message)
            e.code
        }
}
