package medlarroute.cli

import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.streams.toList

/**
 * Runs the commands in the `console` blocks of the pages under docs/ and compares their output with the block, so that
 * the pages do not become outdated. Skips `console live` blocks, which need running instances.
 */
class DocsTest {
    private class Step(val page: Path, val command: String, val output: String)

    private fun steps(page: Path): List<Step> {
        val blocks = Regex("(?m)^```console\\n(.*?)^```", RegexOption.DOT_MATCHES_ALL).findAll(Files.readString(page))
        return blocks.flatMap { block ->
            block.groupValues[1].split(Regex("(?m)^\\$ ")).filter { it.isNotEmpty() }.map { step ->
                Step(page, step.substringBefore('\n'), step.substringAfter('\n'))
            }
        }.toList()
    }

    private var lastExitCode = 0

    private fun outputOf(command: String): String {
        if (command == "echo $?") return "$lastExitCode\n"
        val words = command.split(' ').filter { it.isNotEmpty() }
        words.first() shouldBe "bin/medlarroute"
        val bytes = ByteArrayOutputStream()
        val stream = PrintStream(bytes)
        lastExitCode = Cli(stream, stream, ::commands).run(words.drop(1))
        return bytes.toString(Charsets.UTF_8)
    }

    @Test
    fun `commands in the pages print what the pages show`() {
        val pages = Files.list(Path.of("docs")).use { files ->
            files.filter { "$it".endsWith(".md") }.sorted().toList()
        }
        val steps = pages.flatMap { steps(it) }
        steps.size shouldBeGreaterThan 5
        for (step in steps) withClue("${step.page}: ${step.command}") { outputOf(step.command) shouldBe step.output }
    }
}
