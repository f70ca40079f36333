package medlarroute.server

import arrow.core.NonEmptyList
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import medlarroute.core.KindId
import medlarroute.core.Refusal
import medlarroute.core.RefusalCode
import medlarroute.core.TaskSpec
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class JobBodyTest {
    private val limits =
        JobLimits(maxTasks = 3, maxPayloadBytes = 4, defaultTimeout = 10.seconds, maxTimeout = 60.seconds)

    private fun parse(text: String) = JobBody.parse(text.encodeToByteArray(), limits)

    private fun findings(text: String): NonEmptyList<Refusal> = checkNotNull(parse(text).leftOrNull())

    /** Guards against wrongly parsed fields and against changed defaults. */
    @Test
    fun `a full body and a minimal body are read`() {
        val text = """{"kind":"check","deadlineMs":500,"idempotent":false,""" +
            """"tasks":[{"payload":"a","declaredMs":7},{"payload":""}]}"""
        val tasks = listOf(TaskSpec("a", 7.milliseconds), TaskSpec("", null))
        parse(text).getOrNull() shouldBe JobBody(KindId("check"), 500.milliseconds, false, tasks)
        parse("""{"kind":"check","tasks":[{"payload":"a"}]}""").getOrNull() shouldBe
            JobBody(KindId("check"), 10.seconds, true, listOf(TaskSpec("a", null)))
    }

    /** Guards against callers that have to resend a body once per error to find all of them. */
    @Test
    fun `all findings are reported together with their places`() {
        val text = """{"kind":7,"deadlineMs":0,"idempotent":"yes","extra":1,""" +
            """"tasks":[{"payload":"12345"},{"declaredMs":-1},3]}"""
        findings(text).map { it.place } shouldContainExactly listOf(
            "extra",
            "kind",
            "deadlineMs",
            "idempotent",
            "tasks[0].payload",
            "tasks[1].payload",
            "tasks[1].declaredMs",
            "tasks[2]",
        )
    }

    /** Guards against a limit that is not enforced, or that counts characters instead of bytes. */
    @Test
    fun `limits on tasks and payload are enforced`() {
        findings("""{"kind":"check","tasks":[]}""").single().place shouldBe "tasks"
        val tasks = List(4) { """{"payload":"a"}""" }
        findings("""{"kind":"check","tasks":$tasks}""").single().place shouldBe "tasks"
        findings("""{"kind":"check","tasks":[{"payload":"äää"}]}""").single().code shouldBe RefusalCode.TOO_LARGE
    }

    /** Guards against an exception for a malformed body, which would be reported as "may have run". */
    @Test
    fun `no body of arbitrary bytes throws`() {
        runBlocking {
            checkAll(500, Arb.byteArray(Arb.int(0..40), Arb.byte())) {
                JobBody.parse(it, limits).isLeft() shouldBe true
            }
        }
        val nested = "[".repeat(50_000)
        findings("""{"kind":"check","tasks":$nested""").single().place shouldBe "body"
    }
}
