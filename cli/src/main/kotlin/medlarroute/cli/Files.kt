package medlarroute.cli

import arrow.core.Either
import arrow.core.NonEmptyList
import medlarroute.core.Finding
import medlarroute.core.RulesDocument
import medlarroute.core.RulesReader
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path

/** Reads the file at [name]; ends the command with [ExitCode.BAD_INPUT] if the file can't be read. */
internal fun readText(name: String): String =
    try {
        Files.readString(Path.of(name))
    } catch (e: IOException) {
        throw CliFailure(ExitCode.BAD_INPUT, "$name:1:1: can't be read: ${e.javaClass.simpleName}", e)
    } catch (e: InvalidPathException) {
        throw CliFailure(ExitCode.BAD_INPUT, "$name:1:1: can't be read: ${e.reason}", e)
    }

/** Returns the value, or ends the command with [ExitCode.BAD_INPUT] and prints all findings. */
internal fun <T> Either<NonEmptyList<Finding>, T>.orFail(): T =
    fold({ findings -> throw CliFailure(ExitCode.BAD_INPUT, findings.joinToString("\n")) }, { it })

/** Reads and parses the rules file at [name]; ends the command if it has findings. */
internal fun readRules(name: String): RulesDocument = RulesReader.document(readText(name), name).orFail()
