package medlarroute.core

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class RulesDiffTest {
    private fun document(text: String) = RulesReader.document(text.trimIndent()).getOrNull()!!

    private val before = document(
        """
        quota a 1/s                     # Jane
        route caller x kind * to north  # Lin
        route caller * kind k to south  # Lin
        drain backend b1                # Omar
        """,
    )

    @Test
    fun `blank lines and the order of rules other than routes are ignored`() {
        val after = document(
            """
            drain backend b1 # Omar

            # moved
            route caller x kind * to north # Lin
            route caller * kind k to south # Lin
            quota a 1/s # Jane
            """,
        )
        RulesDiff.between(before, after).isEmpty shouldBe true
    }

    @Test
    fun `changes of values, comments and the order of routes are reported`() {
        val after = document(
            """
            quota a 2/s # Jane
            route caller * kind k to south # Lin
            route caller x kind * to north # Lin
            drain backend b1 # Ada
            """,
        )
        RulesDiff.between(before, after).toString() shouldBe """
            - quota a 1/s  # Jane
            - route caller x kind * to north  # Lin
            + quota a 2/s  # Jane
            - drain backend b1  # Omar
            + route caller x kind * to north  # Lin
            + drain backend b1  # Ada

        """.trimIndent()
    }

    @Test
    fun `an explanation names the rule that applies and the routes that do not match`() {
        val explanation = RulesExplanation.of(before, CallerId("a"), KindId("k"))
        val route = explanation.decisions.single { it.topic == "failure domains" }
        route.outcome shouldBe "south"
        route.reason shouldBe "line 3 says `route caller * kind k to south` (Lin); routes in lines 2 do not match"
        explanation.decisions.single { it.topic == "quota" }.outcome shouldBe "1/s for team a"
        explanation.decisions.single { it.topic == "backend server b1" }.outcome shouldBe "drained"
    }
}
