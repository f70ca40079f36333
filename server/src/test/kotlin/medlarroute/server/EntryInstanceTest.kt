package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.ObjectiveSettings
import medlarroute.core.OperatorSettings
import medlarroute.core.ReportSettings
import medlarroute.core.Rules
import medlarroute.core.Settings
import medlarroute.core.TlsSettings
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.nio.file.Path
import java.security.KeyStore
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class EntryInstanceTest {
    @TempDir
    private lateinit var directory: Path

    private val settings = Settings(
        callers = CallerSettings(port = 0),
        operators = OperatorSettings(port = 0),
        drain = DrainSettings(settleMs = 0),
        report = ReportSettings(listOf(ObjectiveSettings())),
    )
    private val threeTasks = """{"kind":"check","tasks":[{"payload":"a"},{"payload":"b"},{"payload":"c"}]}"""

    private fun startReady(vararg backends: FakeBackend): EntryInstance {
        val instance = EntryInstance(settings)
        instance.start()
        instance.applyRules(Rules(version = 4))
        backends.forEach { instance.addBackend(it.endpoint) }
        return instance
    }

    private fun EntryInstance.callers() = WebClient.of("http://127.0.0.1:$callerPort")

    private fun EntryInstance.operators() = WebClient.of("http://127.0.0.1:$operatorPort")

    private fun WebClient.read(path: String) = get(path).aggregate().join()

    private fun WebClient.post(path: String, submission: String? = null, body: String = "") =
        execute(
            RequestHeaders.builder(HttpMethod.POST, path)
                .add("X-Caller", "router")
                .apply { submission?.let { add("Submission-Id", it) } }
                .build(),
            body,
        ).aggregate()

    private fun WebClient.ticket() = post("/v1/tickets").join().field("ticket").jsonPrimitive.content

    private fun AggregatedHttpResponse.field(name: String) =
        Json.parseToJsonElement(contentUtf8()).jsonObject.getValue(name)

    /** Guards against a broken path from the HTTP request through engine and backend server to the answer. */
    @Test
    fun `a job sent over HTTP is run on a backend server and answered with all outputs in order`() {
        FakeBackend().use { backend ->
            val instance = startReady(backend)
            val client = instance.callers()
            val ticket = client.ticket()
            val answer = client.post("/v1/jobs", "$ticket/1", threeTasks).join()
            answer.status().code() shouldBe 200
            answer.field("results").jsonArray.map { it.jsonObject.getValue("output").jsonPrimitive.content } shouldBe
                listOf("out of a", "out of b", "out of c")
            val repeated = client.post("/v1/jobs", "$ticket/1", threeTasks).join()
            repeated.contentUtf8() shouldBe answer.contentUtf8()
            backend.starts.size shouldBe 3
            instance.drain() shouldBe DrainReport(unfinishedJobs = 0, handedOver = false)
        }
    }

    /** Guards against a shutdown that aborts requests in flight, and against new jobs that start during it. */
    @Test
    fun `a drain answers running jobs and refuses new ones`() {
        val reply = CompletableFuture<HttpResponse>()
        FakeBackend(onStart = { reply }).use { backend ->
            val instance = startReady(backend)
            val client = instance.callers()
            val ticket = client.ticket()
            val body = """{"kind":"check","tasks":[{"payload":"a"}]}"""
            val running = client.post("/v1/jobs", "$ticket/1", body)
            backend.starts.take()
            val drained = CompletableFuture.supplyAsync { instance.drain() }
            while (instance.operators().read("/readyz").status().code() != 503) Thread.onSpinWait()
            val refused = client.post("/v1/jobs", "$ticket/2", body).join()
            refused.status().code() shouldBe 503
            refused.contentUtf8() shouldContain "DRAINING"
            running.isDone shouldBe false
            reply.complete(FakeBackend.done("out"))
            running.get(20, TimeUnit.SECONDS).status().code() shouldBe 200
            drained.get(20, TimeUnit.SECONDS).unfinishedJobs shouldBe 0
            backend.starts.size shouldBe 0
        }
    }

    /** Guards against an instance that reports ready before it has rules, and against wrong status and metrics. */
    @Test
    fun `operators see readiness, status and metrics`() {
        FakeBackend().use { backend ->
            val instance = EntryInstance(settings)
            instance.start()
            val operators = instance.operators()
            operators.read("/healthz").status().code() shouldBe 200
            operators.read("/readyz").contentUtf8() shouldBe """{"ready":false,"reasons":["no rules yet"]}"""
            instance.applyRules(Rules(version = 4))
            instance.addBackend(backend.endpoint)
            operators.read("/readyz").status().code() shouldBe 200
            val client = instance.callers()
            client.post("/v1/jobs", "${client.ticket()}/1", threeTasks).join()
            val status = operators.read("/v1/status")
            status.field("state").jsonPrimitive.content shouldBe "SERVING"
            status.field("rulesVersion").jsonPrimitive.content shouldBe "4"
            status.field("backends").jsonArray.single().jsonObject.getValue("id").jsonPrimitive.content shouldBe "b1"
            val metrics = operators.read("/metrics").contentUtf8()
            metrics shouldContain """medlarroute_jobs_total{caller="router",kind="check",outcome="complete"} 1.0"""
            metrics shouldContain "medlarroute_tasks_started_total 3.0"
            metrics shouldContain """medlarroute_messages_total{use="useful"} 6.0"""
            metrics shouldContain """medlarroute_messages_total{use="wasted"} 0.0"""
            operators.read(BurnReportService.PATH).contentUtf8() shouldContain "\"total\":1"
            instance.drain()
        }
    }

    /** Guards against TLS that is silently disabled, and against a key file format that can't be loaded. */
    @Test
    fun `callers are served over TLS with PEM files and with a key store`() {
        val keyStore = keyStore()
        val password = directory.resolve("password").toFile().apply { writeText("changeit\n") }
        val pem = pemFiles(keyStore)
        val variants = listOf(
            TlsSettings(keyStoreFile = keyStore.path, keyStorePasswordFile = password.path),
            TlsSettings(certificateFile = pem.first.path, privateKeyFile = pem.second.path),
        )
        ClientFactory.insecure().let { factory ->
            variants.forEach { tls ->
                val instance = EntryInstance(settings.copy(callers = settings.callers.copy(tls = tls)))
                instance.start()
                val client = WebClient.builder("https://127.0.0.1:${instance.callerPort}").factory(factory).build()
                client.ticket() shouldContain "local."
                instance.drain()
            }
        }
    }

    /** Guards against an instance that serves in clear text because the settings name only one of two files. */
    @Test
    fun `incomplete TLS settings are refused with all findings`() {
        val tls = TlsSettings(certificateFile = "cert.pem", keyStoreFile = "keys.jks")
        val error = assertThrows<IllegalArgumentException> {
            EntryInstance(settings.copy(callers = settings.callers.copy(tls = tls)))
        }
        error.message!! shouldContain "privateKeyFile"
        error.message!! shouldContain "keyStorePasswordFile"
        error.message!! shouldNotContain "changeit"
    }

    private fun keyStore(): File {
        val file = directory.resolve("keys.jks").toFile()
        val keytool = File(System.getProperty("java.home"), "bin/keytool").path
        val command = listOf(
            keytool, "-genkeypair", "-alias", "k", "-keyalg", "EC", "-dname", "CN=localhost", "-storetype", "JKS",
            "-keystore", file.path, "-storepass", "changeit", "-keypass", "changeit",
        )
        ProcessBuilder(command).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start().waitFor() shouldBe 0
        return file
    }

    private fun pemFiles(keyStoreFile: File): Pair<File, File> {
        val password = "changeit".toCharArray()
        val keyStore = KeyStore.getInstance(keyStoreFile, password)
        val certificate = pem("cert.pem", "CERTIFICATE", keyStore.getCertificate("k").encoded)
        return certificate to pem("key.pem", "PRIVATE KEY", keyStore.getKey("k", password).encoded)
    }

    private fun pem(name: String, type: String, bytes: ByteArray): File {
        val text = Base64.getMimeEncoder().encodeToString(bytes)
        return directory.resolve(name).toFile().apply {
            writeText("-----BEGIN $type-----\n$text\n-----END $type-----\n")
        }
    }
}
