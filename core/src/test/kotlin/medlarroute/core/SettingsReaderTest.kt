package medlarroute.core

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random

class SettingsReaderTest {
    private fun findings(
        text: String,
    ) = SettingsReader.read(text, "s.yaml").leftOrNull().orEmpty().map { it.toString() }

    @Test
    fun `an empty text gives the defaults`() {
        SettingsReader.read("", "s.yaml").getOrNull() shouldBe Settings()
    }

    @Test
    fun `all wrong keys, types, units and ranges are reported together with their locations`() {
        val text = """
            instance:
              idd: e1
            callers:
              port: 70000
              maxBodyBytes: lots
            engine:
              defaultTimeoutMs: 5s
              retryBudgetRatio: -0.5
              maxTimeoutSeconds: 60
            log:
              format: XML
            peers: 3
        """.trimIndent()
        findings(text) shouldContainExactly listOf(
            "s.yaml:2:3: instance.idd: unknown key; did you mean id?",
            "s.yaml:4:9: callers.port: must be at most 65535, found 70000",
            "s.yaml:5:17: callers.maxBodyBytes: expected a whole number of bytes, found `lots`",
            "s.yaml:7:21: engine.defaultTimeoutMs: expected a whole number of milliseconds without a unit, found `5s`",
            "s.yaml:8:21: engine.retryBudgetRatio: must be at least 0, found -0.5",
            "s.yaml:9:3: engine.maxTimeoutSeconds: unknown key; did you mean maxTimeoutMs?",
            "s.yaml:11:11: log.format: expected one of TEXT, JSON, found `XML`",
            "s.yaml:12:8: peers: expected a section with keys, found `3`",
        )
    }

    @Test
    fun `all inconsistencies are reported together`() {
        val text = """
            instance:
              id: a.b
              failureDomain: north
              rack: r4
            callers:
              port: 9000
              tls:
                certificateFile: cert.pem
            operators:
              port: 9000
            engine:
              failureDomain: south
            drain:
              limitMs: 10000
            peers:
              deadAfterMs: 100
            report:
              objectives:
                - kind: check
                - kind: check
        """.trimIndent()
        findings(text) shouldContainExactly listOf(
            "s.yaml:2:7: instance.id: must consist of 1 to 64 letters, digits, `-` and `_`, found `a.b`",
            "s.yaml:8:5: callers.tls.privateKeyFile: must be set too, as certificateFile is set",
            "s.yaml:10:9: operators.port: is 9000 like callers.port",
            "s.yaml:12:18: engine.failureDomain: differs from instance.failureDomain, which is `north`",
            "s.yaml:14:12: drain.limitMs: is 10000, must be at least engine.maxTimeoutMs, which is 60000",
            "s.yaml:16:16: peers.deadAfterMs: is 100, must be at least twice peers.heartbeatIntervalMs, which is 2000",
            "s.yaml:19:5: report.objectives: entry 2 repeats the pair of caller `` and kind `check`",
        )
    }

    @Test
    fun `lists and their entries are checked`() {
        val text = """
            peers:
              seeds: [north-1, "10.0.0.7:8082"]
            engine:
              maxEjectionMs: 10
              disabled: [SPEED]
            callers:
              tls: {certificateFile: a, privateKeyFile: b, keyStoreFile: c, keyStorePasswordFile: d}
        """.trimIndent()
        findings(text) shouldContainExactly listOf(
            "s.yaml:2:10: peers.seeds: expected host:port, found `north-1`",
            "s.yaml:4:18: engine.maxEjectionMs: is 10, must be at least engine.ejectionMs, which is 2000",
            "s.yaml:7:62: callers.tls.keyStoreFile: excludes callers.tls.certificateFile",
        )
        findings("engine:\n  disabled: [SPEED, FOO]\n").single().take(23) shouldBe "s.yaml:2:21: engine.dis"
        findings("peers:\n  seeds: one\n").single() shouldBe "s.yaml:2:10: peers.seeds: expected a list, found `one`"
    }

    @Test
    fun `a text that is not YAML gives one finding with its location`() {
        findings("a: [1\nb: }").size shouldBe 1
    }

    @Test
    fun `the engine takes the failure domain of its instance`() {
        val settings = SettingsReader.read("instance: {failureDomain: north}", "s.yaml").getOrNull()
        settings?.engine?.failureDomain shouldBe "north"
    }

    @Test
    fun `the printed reference is read back as the same settings`() {
        val objectives = listOf(ObjectiveSettings("router \"a\"", "check", 0.95, 200), ObjectiveSettings())
        val settings = Settings(report = ReportSettings(objectives), instance = InstanceSettings(rack = "a\\b"))
        SettingsReader.read(SettingsReference.print(settings), "s.yaml").getOrNull() shouldBe settings
    }

    @Test
    fun `no text crashes the reader`() = runBlocking<Unit> {
        val reference = SettingsReference.print()
        checkAll(PropTestConfig(seed = 1, iterations = 300), Arb.string(0, 60)) { SettingsReader.read(it, "s.yaml") }
        checkAll(PropTestConfig(seed = 2, iterations = 300), Arb.int()) {
            SettingsReader.read(mutate(reference, it), "s")
        }
    }

    @Test
    fun `deep nesting gives a finding and does not overflow the stack`() {
        findings("[".repeat(100_000)).size shouldBe 1
    }

    private fun mutate(text: String, seed: Int): String {
        val random = Random(seed)
        val chars = StringBuilder(text)
        repeat(3) {
            val at = random.nextInt(chars.length)
            when (random.nextInt(3)) {
                0 -> chars.deleteCharAt(at)
                1 -> chars.insert(at, MUTATIONS.random(random))
                else -> chars.setCharAt(at, MUTATIONS.random(random))
            }
        }
        return chars.toString()
    }

    private companion object {
        const val MUTATIONS = ":-[]{}&*!|>'\"%@`#,\n\t \u0000\uFFFFa0"
    }
}
