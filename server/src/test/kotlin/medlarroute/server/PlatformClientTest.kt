package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonPrimitive
import medlarroute.core.PlatformSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class PlatformClientTest {
    private val platform = FakePlatform()
    private val client = PlatformClient(platform.settings, ClientFactory.ofDefault())

    @AfterEach
    fun close() = platform.close()

    private fun read(etag: String? = null) = client.read("t", "a/b c", String.serializer(), etag).join()

    private fun write(value: String, condition: WriteCondition) =
        client.write("t", "a/b c", String.serializer(), value, condition).join()

    /** Guards against writes that overwrite a concurrent change. */
    @Test
    fun `a write succeeds only if its condition holds`() {
        read().getOrNull() shouldBe Fetched.Absent
        val tag = write("one", WriteCondition.Absent).getOrNull().orEmpty()
        write("two", WriteCondition.Absent).leftOrNull() shouldBe PlatformError.ConditionFailed
        read().getOrNull() shouldBe Fetched.Present("one", tag)
        read(tag).getOrNull() shouldBe Fetched.Unchanged
        write("two", WriteCondition.Unchanged(tag)).isRight() shouldBe true
        write("three", WriteCondition.Unchanged(tag)).leftOrNull() shouldBe PlatformError.ConditionFailed
    }

    /** Guards against a write without reply being reported as failed although it took effect. */
    @Test
    fun `the outcome of a write without reply is reported as unknown`() {
        platform.repliesToLose.set(1)
        write("one", WriteCondition.Absent).leftOrNull().shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
        read().getOrNull().shouldBeInstanceOf<Fetched.Present<String>>().value shouldBe "one"
        platform.isDown = true
        write("two", WriteCondition.Absent).leftOrNull().shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
        read().leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
    }

    /** Guards against an unknown outcome where the connection was refused, so nothing was sent. */
    @Test
    fun `a write that was never delivered is reported as not written`() {
        val unreachable = PlatformClient(PlatformSettings(url = "http://127.0.0.1:21999"), ClientFactory.ofDefault())
        unreachable.write("t", "k", String.serializer(), "v", WriteCondition.Absent).join().leftOrNull()
            .shouldBeInstanceOf<PlatformError.Unavailable>()
    }

    /** Guards against a platform that stays unreachable because calls keep using an unresponsive connection. */
    @Test
    fun `an unresponsive connection is replaced by a new one`() {
        CountingProxy(platform.settings.url.substringAfterLast(':').toInt()).use { proxy ->
            val proxied = platform.settings.copy(url = "http://127.0.0.1:${proxy.port}")
            val watched = PlatformClient(proxied, ClientFactory.ofDefault())
            fun isAnswered() = watched.instances().join().isRight()
            eventually("the first read is answered") { isAnswered() }
            proxy.stallOpenConnections()
            isAnswered() shouldBe false
            eventually("a read is answered on a new connection") { isAnswered() }
        }
    }

    /** Guards against a partial transaction. */
    @Test
    fun `a transaction inserts all rows or none`() {
        val rows = listOf("x", "y", "z").associateWith { NewRow(it, JsonPrimitive(1)) }
        fun insert(vararg keys: String) = client.insertAll("t", keys.map(rows::getValue)).join()
        insert("x", "y").isRight() shouldBe true
        insert("z", "y").leftOrNull() shouldBe PlatformError.ConditionFailed
        client.read("t", "z", String.serializer()).join().getOrNull() shouldBe Fetched.Absent
    }

    /** Guards against a wrongly parsed list of instances. */
    @Test
    fun `the list of instances has roles, states and addresses`() {
        platform.listed = listOf(
            ListedInstance("e1", "entry", "north", "127.0.0.1", 21_001, operatorsPort = 21_002),
            ListedInstance("b1", "backend", "north", "127.0.0.1", 21_003, state = "leaving", slots = 8),
        )
        val found = client.instances().join().getOrNull().shouldBeInstanceOf<Fetched.Present<InstanceListBody>>()
        val list = found.value.toList()
        list.entries.single().peerPort shouldBe 21_001
        list.backends.single().leaving shouldBe true
        client.instances(found.etag).join().getOrNull() shouldBe Fetched.Unchanged
    }
}
