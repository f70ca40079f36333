package medlarroute.cli

import com.sun.net.httpserver.HttpServer
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import medlarroute.core.BurnMeter
import medlarroute.core.BurnReport
import medlarroute.core.CallerId
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.JobOutcome
import medlarroute.core.JobResult
import medlarroute.core.KindId
import medlarroute.core.ObjectiveSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration

/** Runs commands in this process, against a stub of the HTTP API of an entry instance. */
class CliTest {
    @TempDir
    private lateinit var directory: Path

    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private val url get() = "http://127.0.0.1:${server.address.port}"

    private fun run(vararg args: String) = Cli(PrintStream(out), PrintStream(err), ::commands).run(args.toList())

    private fun writeFile(name: String, text: String) = directory.resolve(name).also {
        Files.writeString(it, text)
    }.toString()

    /** Serves [path]; [reply] maps the method and the request body to the status and the reply body. */
    private fun stub(path: String, reply: (String, String) -> Pair<Int, String>) {
        server.createContext(path) { exchange ->
            val request = exchange.requestBody.readBytes().decodeToString()
            val (status, body) = reply(exchange.requestMethod, request)
            val bytes = body.encodeToByteArray()
            exchange.sendResponseHeaders(status, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
    }

    @AfterEach
    fun stopServer() {
        server.stop(0)
    }

    @Test
    fun `invalid arguments exit with 2 and help with 0`() {
        run("nonsense") shouldBe ExitCode.BAD_INPUT
        run("settings", "nonsense") shouldBe ExitCode.BAD_INPUT
        run("rules") shouldBe ExitCode.BAD_INPUT
        run() shouldBe ExitCode.BAD_INPUT
        run("rules", "diff", "--nonsense") shouldBe ExitCode.BAD_INPUT
        run("--help") shouldBe ExitCode.SUCCESS
        run("rules", "apply", "--help") shouldBe ExitCode.SUCCESS
        out.toString() shouldContain "--dry-run"
    }

    @Test
    fun `all findings are printed with file, line and column and exit with 2`() {
        val name = writeFile("s.yaml", "peers:\n  fanOut: 0\n  port: x\n")
        run("settings", "check", name) shouldBe ExitCode.BAD_INPUT
        err.toString() shouldBe """
            $name:2:11: peers.fanOut: must be at least 1, found 0
            $name:3:9: peers.port: expected a whole number, found `x`

        """.trimIndent()
    }

    @Test
    fun `the default settings printed by show pass the check`() {
        run("settings", "show", "--defaults") shouldBe ExitCode.SUCCESS
        run("settings", "check", writeFile("s.yaml", out.toString())) shouldBe ExitCode.SUCCESS
    }

    @Test
    fun `an unreachable service exits with 3`() {
        server.stop(0)
        run("rules", "get", "--url", "http://127.0.0.1:1") shouldBe ExitCode.NOT_REACHABLE
        run("job", "submit", "--url", "http://127.0.0.1:1", "--kind", "k", "--task", "a") shouldBe
            ExitCode.NOT_REACHABLE
    }

    /** Guards against lost updates: two operators edit the same version, and the second would overwrite the first. */
    @Test
    fun `rules that have changed since the base version are not overwritten`() {
        var puts = 0
        server.start()
        stub("/v1/rules") { method, _ ->
            if (method == "PUT") puts++
            200 to """{"version":8,"text":"quota a 2/s # Omar\n"}"""
        }
        val mine = writeFile("r.txt", "# base version 7\nquota a 3/s # Jane\n")
        run("rules", "apply", "--url", url, mine) shouldBe ExitCode.NEGATIVE
        puts shouldBe 0
        out.toString() shouldBe "- quota a 2/s  # Omar\n+ quota a 3/s  # Jane\n"
    }

    /** Covers a change that arrives between the command's read of the current version and its write. */
    @Test
    fun `a write rejected with a conflict shows the difference to the rules in force`() {
        server.start()
        stub("/v1/rules") { method, _ ->
            if (method == "GET") {
                200 to """{"version":7,"text":"quota a 1/s # Jane\n"}"""
            } else {
                409 to """{"version":8,"text":"quota a 2/s # Omar\n"}"""
            }
        }
        run("rules", "apply", "--url", url, "--base", "7", writeFile("r.txt", "quota a 3/s # Jane\n")) shouldBe
            ExitCode.NEGATIVE
        out.toString() shouldContain "- quota a 2/s  # Omar\n+ quota a 3/s  # Jane\n"
        err.toString() shouldContain "version 8 is in force"
    }

    @Test
    fun `rules are sent without the base version line, which is updated once they are accepted`() {
        var sent = ""
        server.start()
        stub("/v1/rules") { method, body ->
            if (method == "PUT") sent = body
            200 to """{"version":${if (method == "PUT") 8 else 7},"text":""}"""
        }
        val name = writeFile("r.txt", "# base version 7\nquota a 3/s # Jane\n")
        run("rules", "apply", "--url", url, name) shouldBe ExitCode.SUCCESS
        sent shouldContain """"text":"quota a 3/s # Jane\n","expectedVersion":7"""
        Files.readString(Path.of(name)) shouldBe "# base version 8\nquota a 3/s # Jane\n"
    }

    /** The stub applies the write and closes the connection without a reply. */
    @Test
    fun `a write without a reply counts as accepted if the rules in force match it`() {
        server.start()
        var isWritten = false
        server.createContext("/v1/rules") { exchange ->
            if (exchange.requestMethod == "PUT") {
                isWritten = true
                exchange.close()
                return@createContext
            }
            val version = if (isWritten) 8 else 7
            val text = if (isWritten) "quota a 3/s # Jane\\n" else ""
            val body = """{"version":$version,"text":"$text"}""".encodeToByteArray()
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        val name = writeFile("r.txt", "# base version 7\nquota a 3/s # Jane\n")
        run("rules", "apply", "--url", url, name) shouldBe ExitCode.SUCCESS
        out.toString() shouldContain "accepted as version 8"
    }

    @Test
    fun `the exit code of a job distinguishes complete, failed and malformed`() {
        server.start()
        stub("/v1/tickets") { _, _ -> 201 to """{"ticket":"n.e.1.1","retentionMs":1,"windowSequences":1}""" }
        val replies = ArrayDeque(
            listOf(
                200 to """{"status":"complete"}""",
                502 to """{"status":"failed","code":"TASK_LOST"}""",
                400 to """{"status":"refused"}""",
            ),
        )
        stub("/v1/jobs") { _, _ -> replies.removeFirst() }
        val submit = arrayOf("job", "submit", "--url", url, "--kind", "check", "--task", "a", "--task", "b")
        run(*submit) shouldBe ExitCode.SUCCESS
        run(*submit) shouldBe ExitCode.NEGATIVE
        run(*submit) shouldBe ExitCode.BAD_INPUT
    }

    @Test
    fun `the burn report merges the snapshots of instances and lists unreachable ones`() {
        server.start()
        val meter = BurnMeter(listOf(ObjectiveSettings(caller = "<a>")), InstanceId("e1"), Incarnation(1))
        meter.answered(JobOutcome(CallerId("<a>"), KindId("k"), Duration.ZERO, JobResult.FAILED))
        stub("/v1/report/burn") { _, _ -> 200 to Json.encodeToString(meter.snapshot()) }
        run("report", "burn", "--instances", url) shouldBe ExitCode.NEGATIVE
        out.toString() shouldContain "caller <a>, kind any: 99% within 1000 ms: FAST_BURN"
        out.reset()
        run("report", "burn", "--instances", "$url,http://127.0.0.1:1", "--format", "json") shouldBe
            ExitCode.NOT_REACHABLE
        Json.decodeFromString<BurnReport>(out.toString()).unreachable.single().url shouldBe "http://127.0.0.1:1"
        out.reset()
        run("report", "burn", "--instances", "$url,http://127.0.0.1:1", "--format", "html")
        out.toString() shouldContain "<svg"
        out.toString() shouldContain "Missing: http://127.0.0.1:1"
        out.toString() shouldContain "&lt;a&gt;"
    }

    @Test
    fun `an unreachable instance makes the status negative`() {
        server.start()
        val same = """{"instance":"e1","failureDomain":"n","version":3,"reachable":true,"sinceContactMs":0}"""
        val unreachable =
            """{"instance":"e2","failureDomain":"s","version":3,"reachable":false,"sinceContactMs":7000}"""
        val replies = ArrayDeque(listOf("""{"instances":[$same]}""", """{"instances":[$same,$unreachable]}"""))
        stub("/v1/rules/status") { _, _ -> 200 to replies.removeFirst() }
        run("rules", "status", "--url", url) shouldBe ExitCode.SUCCESS
        run("rules", "status", "--url", url) shouldBe ExitCode.NEGATIVE
        out.toString() shouldContain "s/e2: version 3, unreachable, last contact 7s ago"
    }

    @Test
    fun `serve reports unusable settings and does not start`() {
        val name = writeFile(
            "s.yaml",
            "callers: {port: 0, tokensFile: /nonexistent}\noperators: {port: 0}\npeers: {port: 0}\n",
        )
        run("serve", "--settings", name) shouldBe ExitCode.BAD_INPUT
        err.toString() shouldContain "a file that the settings name can't be read: /nonexistent"
        run("serve", "--settings", writeFile("t.yaml", "peers: {fanOut: 0}\n")) shouldBe ExitCode.BAD_INPUT
    }

    @Test
    fun `an unknown caller exits with 2`() {
        server.start()
        stub("/v1/tickets") { _, _ -> 401 to """{"status":"refused","notRun":true,"findings":[]}""" }
        run("job", "submit", "--url", url, "--kind", "check", "--task", "a") shouldBe ExitCode.BAD_INPUT
    }
}
