package medlarroute.cli

import kotlinx.cli.ArgParser
import medlarroute.core.Finding
import java.io.PrintStream

/** Exit codes of all commands. */
internal object ExitCode {
    const val SUCCESS = 0

    /** The command ran, with a negative outcome: a job failed, two files differ, a write conflicted with another. */
    const val NEGATIVE = 1

    /** The arguments, settings, rules or job are invalid, or a file or port that they name can't be used. */
    const val BAD_INPUT = 2

    /** The service can't be reached, or its reply was lost. */
    const val NOT_REACHABLE = 3
}

/** Ends a command early with the exit code [code]; [message] is printed to standard error. */
internal class CliFailure(val code: Int, override val message: String, cause: Throwable? = null) :
    RuntimeException(message, cause)

/** Parses the arguments, runs the command that they name, and holds the output streams of the commands. */
internal class Cli(
    private val out: PrintStream,
    private val err: PrintStream,
    private val commands: (Cli) -> List<CliCommand>,
) {
    /** Exit code of the command that ran; null if none ran. */
    private var exitCode: Int? = null

    /** Prints a part of the result to standard output. */
    fun print(text: String) {
        out.print(text)
    }

    /** Prints a line of the result to standard output. */
    fun printLine(text: String) {
        out.println(text)
    }

    /** Prints a message that is not part of the result to standard error. */
    fun printDiagnostic(text: String) {
        err.println(text)
    }

    /** Runs the command that [args] name and returns its exit code. */
    fun run(args: List<String>): Int {
        val all = commands(this)
        val external = all.filterIsInstance<ExternalCommand>().firstOrNull { it.name == args.firstOrNull() }
        if (external != null) return exitCodeOf { external.run(args.drop(1)) }
        return exitCodeOf { parse(all, args) }
    }

    /** Runs the body of a command and records its exit code. */
    fun recordExitCode(body: () -> Int) {
        exitCode = body()
    }

    private fun parse(all: List<CliCommand>, args: List<String>): Int {
        val parser = ArgParser("medlarroute")
        val exitHook = ParserExitHook(parser)
        parser.subcommands(*all.toTypedArray())
        all.forEach { it.installExitHook(exitHook) }
        val (command, rest) = findCommand(all, args)
        // If no command that can run is given, the help is printed, but the exit code is BAD_INPUT.
        val isIncomplete = rest.isEmpty() && command !is ExecutableCommand
        try {
            (command ?: parser).parse(if (isIncomplete) arrayOf("--help") else rest.toTypedArray())
            command?.execute()
        } catch (e: ParserExitHook.ParserExit) {
            if (e.isHelp) printLine(e.text) else printDiagnostic(e.text)
            return if (e.isHelp && !isIncomplete) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        }
        return exitCode
            ?: throw CliFailure(ExitCode.BAD_INPUT, "no command given; see medlarroute ${args.first()} --help")
    }

    /**
     * Returns the innermost command named by the first of [args], and the remaining arguments.
     *
     * kotlinx-cli would read options after a nested command as options of the outer one, so that `rules apply --help`
     * would show the help of `rules`.
     */
    private fun findCommand(commands: List<CliCommand>, args: List<String>): Pair<CliCommand?, List<String>> {
        val command = commands.firstOrNull { it.name == args.firstOrNull() } ?: return null to args
        val rest = args.drop(1)
        if (command !is CommandGroup) return command to rest
        val (inner, innerRest) = findCommand(command.commands, rest)
        return if (inner == null) command to rest else inner to innerRest
    }

    /** Returns the exit code of [body]; prints the message of a [CliFailure]. */
    private fun exitCodeOf(body: () -> Int): Int =
        try {
            body()
        } catch (e: CliFailure) {
            printDiagnostic(e.message)
            e.code
        }
}
