package medlarroute.lab

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.net.SocketException
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.TimeoutException

class BackendStandinTest {
    @TempDir
    lateinit var directory: Path

    private val resources = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll(): Unit = resources.asReversed().forEach { it.close() }

    private fun group(switches: BackendSwitches = BackendSwitches(), maxConnections: Int = 64): BackendStandinGroup {
        val settings = BackendStandinSettings("b1", switches = switches, maxConnections = maxConnections)
        return BackendStandinGroup(listOf(settings), StartLog(log())).start().also { resources.add(it) }
    }

    private fun log(): Path = directory.resolve("starts.log")

    private fun client(port: Int): WebClient {
        val factory = ClientFactory.builder().useHttp2Preface(true).http2GracefulShutdownTimeoutMillis(0).build().also {
            resources.add(it)
        }
        return WebClient.builder("h2c://127.0.0.1:$port").factory(factory).responseTimeoutMillis(0).build()
    }

    private fun WebClient.startTask(
        task: String,
        payload: String,
        leaseMs: Long = 10_000,
    ): CompletableFuture<AggregatedHttpResponse> {
        val body = """{"task":"$task","kind":"k","payload":"$payload","leaseMs":$leaseMs,"idempotent":true}"""
        return execute(HttpRequest.of(HttpMethod.POST, "/v1/tasks", MediaType.JSON, body)).aggregate()
    }

    private fun WebClient.postJson(path: String, body: String = "{}") =
        execute(HttpRequest.of(HttpMethod.POST, path, MediaType.JSON, body)).aggregate().get(5, SECONDS)

    private fun awaitUntil(condition: () -> Boolean) {
        val end = System.nanoTime() + SECONDS.toNanos(10)
        while (!condition()) {
            check(System.nanoTime() < end) { "the condition was not met in 10 s" }
            Thread.sleep(5)
        }
    }

    private fun outcomes(task: String): List<TaskOutcome?> =
        StartLog.read(log()).filter { it.task == task && it.event == StartLogEvent.END }.map { it.outcome }

    @Test
    fun `a task is answered with the output of its payload and is in the start log`() {
        val group = group()
        val reply = client(group.standins[0].port).startTask("n.e1.1.1/1/0", "ms=10;n=a").get(5, SECONDS)
        reply.status() shouldBe HttpStatus.OK
        reply.contentUtf8() shouldContain StandinTaskSpec.outputOf("ms=10;n=a")
        reply.headers().get("backend-state") shouldBe "serving"
        reply.headers().get("slots") shouldBe "8"
        outcomes("n.e1.1.1/1/0") shouldBe listOf(TaskOutcome.DONE)
    }

    // Guards against a start that is logged and then rejected with `task-started: no`, the proof that it did not run.
    @Test
    fun `a start is rejected with the proof that it did not run if all slots are busy`() {
        val client = client(group().standins[0].port)
        val first = (0 until 8).map { client.startTask("t/1/$it", "ms=2000") }
        awaitUntil { StartLog.read(log()).count { it.event == StartLogEvent.START } == 8 }
        val ninth = client.startTask("t/1/8", "ms=1").get(5, SECONDS)
        ninth.status() shouldBe HttpStatus.SERVICE_UNAVAILABLE
        ninth.headers().get("task-started") shouldBe "no"
        StartLog.read(log()).none { it.task == "t/1/8" } shouldBe true
        first.none { it.isDone } shouldBe true
    }

    @Test
    fun `a task whose lease expires is stopped, and a renewed lease keeps it running`() {
        val client = client(group().standins[0].port)
        val expiring = client.startTask("t/1/0", "ms=5000", leaseMs = 50)
        expiring.get(5, SECONDS).contentUtf8() shouldContain "lease"
        outcomes("t/1/0") shouldBe listOf(TaskOutcome.LEASE_LAPSED)

        val renewed = client.startTask("t/1/1", "ms=400", leaseMs = 300)
        awaitUntil { client.get("/v1/tasks/t/1/1").aggregate().join().status() == HttpStatus.OK }
        val lease = HttpRequest.of(HttpMethod.PUT, "/v1/tasks/t/1/1/lease", MediaType.JSON, """{"leaseMs":5000}""")
        client.execute(lease).aggregate().get(5, SECONDS).status() shouldBe HttpStatus.NO_CONTENT
        renewed.get(5, SECONDS).contentUtf8() shouldContain "\"done\""
    }

    @Test
    fun `a task can be queried, throttled, checkpointed and stopped`() {
        val client = client(group().standins[0].port)
        val task = client.startTask("t/1/0", "ms=60000")
        awaitUntil { client.get("/v1/tasks/t/1/0").aggregate().join().contentUtf8().contains("running") }
        client.get("/v1/tasks/t%2F1%2F0").aggregate().join().contentUtf8() shouldContain "running"
        client.postJson("/v1/tasks/t/1/0/throttle", """{"rate":0.5}""").status() shouldBe HttpStatus.NO_CONTENT
        client.postJson("/v1/tasks/t/1/0/checkpoint").contentUtf8() shouldContain "workLeftMs"
        client.postJson("/v1/tasks/t/1/0/stop").status() shouldBe HttpStatus.NO_CONTENT
        task.get(5, SECONDS).contentUtf8() shouldContain "failed"
        client.get("/v1/tasks/t/1/0").aggregate().join().contentUtf8() shouldContain "failed"
        client.get("/v1/tasks/t/1/9").aggregate().join().status() shouldBe HttpStatus.NOT_FOUND
        client.postJson("/v1/tasks/t/1/0/throttle", """{"rate":7}""").status() shouldBe HttpStatus.BAD_REQUEST
    }

    @Test
    fun `connections beyond the limit are refused`() {
        val port = group(maxConnections = 4).standins[0].port
        val kept = (1..4).map { Socket("127.0.0.1", port).also { resources.add(it) } }
        Thread.sleep(100)
        val further = Socket("127.0.0.1", port).also { it.soTimeout = 5_000 }
        val end = try {
            further.getInputStream().read()
        } catch (_: SocketException) {
            -1
        }
        end shouldBe -1
        kept.all { it.isConnected } shouldBe true
    }

    // Guards against a silenced connection that still answers, which would hide the fault from entry instances. HTTP/2
    // PINGs are not checked here.
    @Test
    fun `requests on a silenced connection get no reply, those on a new connection do`() {
        val group = group()
        val old = client(group.standins[0].port)
        old.startTask("t/1/0", "ms=1").get(5, SECONDS).status() shouldBe HttpStatus.OK
        group.standins[0].silence() shouldBe 1
        val lost = old.startTask("t/1/1", "ms=1")
        client(group.standins[0].port).startTask("t/1/2", "ms=1").get(5, SECONDS).status() shouldBe HttpStatus.OK
        shouldThrow<TimeoutException> { lost.get(300, java.util.concurrent.TimeUnit.MILLISECONDS) }
        outcomes("t/1/1") shouldBe emptyList()
    }

    @Test
    fun `a paused stand-in answers once the pause ends`() {
        val standin = group().standins[0]
        val client = client(standin.port)
        client.startTask("t/1/0", "ms=1").get(5, SECONDS)
        standin.applySwitches(BackendSwitches(paused = true))
        val pending = client.startTask("t/1/1", "ms=1")
        shouldThrow<TimeoutException> { pending.get(300, java.util.concurrent.TimeUnit.MILLISECONDS) }
        standin.applySwitches(BackendSwitches())
        pending.get(5, SECONDS).status() shouldBe HttpStatus.OK
    }

    // Guards against a leaving stand-in that drops running tasks or accepts new ones.
    @Test
    fun `a leaving stand-in finishes its tasks, rejects new ones and reports that it is leaving`() {
        val standin = group().standins[0]
        val client = client(standin.port)
        val running = client.startTask("t/1/0", "ms=300")
        awaitUntil { standin.busySlots == 1 }
        standin.applySwitches(BackendSwitches(leaving = true))
        val late = client(standin.port).startTask("t/1/1", "ms=1").get(5, SECONDS)
        late.status() shouldBe HttpStatus.SERVICE_UNAVAILABLE
        late.headers().get("task-started") shouldBe "no"
        late.headers().get("backend-state") shouldBe "leaving"
        running.get(5, SECONDS).contentUtf8() shouldContain "done"
        StartLog.read(log()).last { it.task.isEmpty() }.event shouldBe StartLogEvent.LEAVING
        awaitUntil { standin.openConnections < 2 }
    }

    @Test
    fun `a crash drops tasks and connections, then a new incarnation serves`() {
        val standin = group().standins[0]
        val client = client(standin.port)
        val before = client.get("/v1/usage").aggregate().join().headers().get("backend-incarnation")
        val lost = client.startTask("t/1/0", "ms=60000")
        awaitUntil { standin.busySlots == 1 }
        standin.crash()
        shouldThrow<Exception> { lost.get(5, SECONDS) }
        outcomes("t/1/0") shouldBe listOf(TaskOutcome.CRASHED)
        awaitUntil {
            val reply = client.get("/v1/usage").aggregate().handle { reply, _ -> reply }.join()
            reply != null && reply.status() == HttpStatus.OK && reply.headers().get("backend-incarnation") != before
        }
    }

    @Test
    fun `failing, busy and straggler switches are set over the admin port`() {
        val group = group()
        val client = client(group.standins[0].port)
        val admin = client(group.adminPort)
        fun putSwitches(body: String) =
            admin.execute(
                HttpRequest.of(HttpMethod.PUT, "/backends/all/switches", MediaType.JSON, body),
            ).aggregate().join()

        putSwitches("""{"failsAll":true}""").status() shouldBe HttpStatus.OK
        client.startTask("t/1/0", "ms=1").get(5, SECONDS).contentUtf8() shouldContain "failed"
        putSwitches("""{"failsAll":false,"busy":true}""")
        client.startTask("t/1/1", "ms=1").get(5, SECONDS).headers().get("task-started") shouldBe "no"
        putSwitches("""{"busy":false,"stragglerShare":1.0,"stragglerFactor":1000.0}""")
        val straggler = client.startTask("t/1/2", "ms=100")
        shouldThrow<TimeoutException> { straggler.get(400, java.util.concurrent.TimeUnit.MILLISECONDS) }
        putSwitches("""{"sped":3}""").status() shouldBe HttpStatus.BAD_REQUEST
        admin.get("/backends").aggregate().join().contentUtf8() shouldContain "\"busySlots\":1"
    }

    @Test
    fun `usage is reported with a lag`() {
        val standin = group().standins[0]
        val client = client(standin.port)
        client.startTask("t/1/0", "ms=60000")
        awaitUntil { standin.busySlots == 1 }
        val reply = client.get("/v1/usage").aggregate().join()
        reply.headers().get("busy-slots") shouldBe "1"
        reply.contentUtf8() shouldContain "\"busySlots\":0"
    }
}
